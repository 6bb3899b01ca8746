#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Random values and digests for the code with I/O; the decisions in src/policy get theirs as arguments.
namespace chervilpulley {

/// 64 bits from the system's random source.
std::uint64_t RandomNumber();
/// Returns aBytes random bytes, in hex.
std::string RandomHex(std::size_t aBytes);
/// SHA-256 of the text, in hex.
std::string Sha256Hex(std::string_view aText);
/// HMAC-SHA-256 of the text under the key, in hex.
std::string HmacSha256Hex(std::string_view aKey, std::string_view aText);
/// Compares in a time that depends only on the lengths, so that timing reveals nothing about a key.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);
/// A 64-bit digest that is the same on every machine and in every release (FNV-1a with a final mix).
std::uint64_t StableHash(std::string_view aText);

} // namespace chervilpulley
