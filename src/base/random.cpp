#include "base/random.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include <array>
#include <vector>

namespace chervilpulley {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr char kHexDigits[] = "0123456789abcdef";
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;

std::string ToHex(const unsigned char* aBytes, std::size_t aSize)
{
  std::string text;
  text.reserve(aSize * 2);
  for (std::size_t i = 0; i < aSize; ++i) {
    text.push_back(kHexDigits[aBytes[i] >> 4U]);
    text.push_back(kHexDigits[aBytes[i] & 15U]);
  }
  return text;
}

const unsigned char* Bytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::uint64_t RandomNumber()
{
  std::uint64_t number = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&number), sizeof number);
  return number;
}

std::string RandomHex(std::size_t aBytes)
{
  std::vector<unsigned char> bytes(aBytes);
  RAND_bytes(bytes.data(), static_cast<int>(aBytes));
  return ToHex(bytes.data(), bytes.size());
}

std::string Sha256Hex(std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(Bytes(aText), aText.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacSha256Hex(std::string_view aKey, std::string_view aText)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(), aKey.data(), static_cast<int>(aKey.size()), Bytes(aText), aText.size(), digest.data(), &size);
  return ToHex(digest.data(), size);
}

bool EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() && CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::uint64_t StableHash(std::string_view aText)
{
  std::uint64_t hash = kFnvOffset;
  for (char c : aText) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kFnvPrime;
  }
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  return hash;
}

} // namespace chervilpulley
