/// Fuzzes the parser of event IDs that callers send to resume a stream.

#include "base/random.h"
#include "entry/event_id.h"
#include "fuzz/fuzz_target.h"

using namespace chervilpulley;

namespace {

constexpr const char* kKey = "shared";

/// Makes an event ID from a text: the request is its first line, the instance its second and the workspace the rest.
entry::event_id MakeEventId(const std::string& aText)
{
  const std::size_t first = aText.find('\n');
  const std::size_t second = first == std::string::npos ? first : aText.find('\n', first + 1);
  entry::event_id id;
  id.mRequest = request_id("r" + aText.substr(0, first));
  id.mHead = instance_id("s" + (first == std::string::npos ? "" : aText.substr(first + 1, second - first - 1)));
  id.mWorkspace = workspace_id("w" + (second == std::string::npos ? "" : aText.substr(second + 1)));
  id.mNext = token_position(aText.size());
  return id;
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  return { "r~7~sidecar-1~tegid",
           "r%7e~18446744073709551615~s%00~w%ff",
           "r\nsidecar-1\ntegid",
           "a~b\nc%d\n\xff",
           entry::WriteEventId(MakeEventId("1\n2\n3"), kKey) };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text = fuzz::ToText(aData, aSize);
  if (const auto unsignedId = entry::ReadEventId(text, kKey)) {
    fuzz::Require(unsignedId->mRequest.IsValid() && unsignedId->mHead.IsValid() && unsignedId->mWorkspace.IsValid(),
                  "an ID has a request, an instance and a workspace");
  }
  // With a valid signature, so that the code behind the signature check is reached too.
  const std::string signedText = text + "~" + HmacSha256Hex(kKey, text).substr(0, 32);
  if (const auto parsed = entry::ReadEventId(signedText, kKey)) {
    const auto reencoded = entry::ReadEventId(entry::WriteEventId(*parsed, kKey), kKey);
    fuzz::Require(reencoded && reencoded->mRequest == parsed->mRequest && reencoded->mNext == parsed->mNext &&
                    reencoded->mHead == parsed->mHead && reencoded->mWorkspace == parsed->mWorkspace,
                  "a parsed ID survives a round trip");
  }
  const entry::event_id id = MakeEventId(text);
  const std::string written = entry::WriteEventId(id, kKey);
  const auto reparsed = entry::ReadEventId(written, kKey);
  fuzz::Require(written.find_first_of("\r\n") == std::string::npos, "an ID has no line breaks");
  fuzz::Require(reparsed && reparsed->mRequest == id.mRequest && reparsed->mHead == id.mHead &&
                  reparsed->mWorkspace == id.mWorkspace,
                "an ID with any names survives a round trip");
  fuzz::Require(!entry::ReadEventId(written, "other"), "an ID signed with another key is rejected");
  return 0;
}
