/// Fuzzes the parsers of HTTP messages: heads, chunk lines, trailers and bodies that arrive in two pieces. The library
/// reports what it does not accept as errors and must not throw; memory follows the bytes that have arrived.

#include <algorithm>

#include "fuzz/fuzz_target.h"
#include "net/http_p.h"

using namespace chervilpulley;

namespace {

/// Growth of a string's memory beyond its size, and the memory of an empty one.
constexpr std::size_t kMaxGrowth = 2;
constexpr std::size_t kMinCapacity = 64;

template<class Parser>
void Check(const std::string& aText)
{
  Parser parser;
  parser.body_limit(boost::none);
  parser.eager(true);
  // The first byte also decides where the text is cut.
  const std::size_t cut = aText.empty() ? 0 : static_cast<unsigned char>(aText.front()) % aText.size();
  std::string unparsed;
  boost::system::error_code error;
  for (const std::string& piece : { aText.substr(0, cut), aText.substr(cut) }) {
    unparsed += piece;
    while (!unparsed.empty() && !parser.is_done()) {
      const std::size_t consumed = parser.put(boost::asio::buffer(unparsed), error);
      unparsed.erase(0, consumed);
      if (error || consumed == 0) {
        break;
      }
    }
    if (error && error != net::http::error::need_more) {
      break;
    }
  }
  const std::string& body = parser.get().body();
  fuzz::Require(body.size() <= aText.size(), "a body has no more bytes than have arrived");
  fuzz::Require(body.capacity() <= std::max(kMinCapacity, aText.size() * kMaxGrowth),
                "a body takes no more memory than its bytes need");
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  return { "HTTP/1.1 200 OK\r\nContent-Length: 800800800800800\r\n\r\nshort",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=\"b\"\r\nshort\r\n0\r\nX-Trailer: x\r\n\r\n",
           "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nno",
           "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nuntil the end",
           "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 18446744073709551615\r\n\r\nx",
           "POST /s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx\r\n" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text = fuzz::ToText(aData, aSize);
  Check<net::response_message_parser>(text);
  Check<net::request_message_parser>(text);
  return 0;
}
