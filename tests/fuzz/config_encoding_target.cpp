/// Fuzzes the decoders of the stored configuration: log entries, the head, the parts of a state, and base64.

#include <google/protobuf/stubs/logging.h>

#include "config/config_encoding.h"
#include "fuzz/fuzz_target.h"

using namespace chervilpulley;

namespace {

void CheckBase64(const std::string& aText)
{
  const std::string encoded = config::ToBase64(aText);
  fuzz::Require(config::FromBase64(encoded) == aText, "bytes survive a round trip through base64");
  if (const auto bytes = config::FromBase64(aText)) {
    fuzz::Require(bytes->size() <= aText.size(), "decoded base64 is not longer than its text");
  }
}

void CheckHead(const std::string& aText)
{
  const auto head = config::DecodeHead(aText);
  if (head.has_error()) {
    return;
  }
  const auto reparsed = config::DecodeHead(config::EncodeHead(head.value()));
  fuzz::Require(reparsed.has_value() && reparsed.value().mNewest.mName == head.value().mNewest.mName &&
                  reparsed.value().mNewest.mRevision == head.value().mNewest.mRevision &&
                  reparsed.value().mPrevious.mParts == head.value().mPrevious.mParts,
                "a decoded head survives a round trip");
}

void CheckParts(const std::string& aText)
{
  const auto state = config::DecodeParts({ aText });
  if (state.has_error()) {
    return;
  }
  const auto reparsed = config::DecodeParts(config::EncodeParts(state.value(), 64));
  fuzz::Require(reparsed.has_value() && reparsed.value().objects_size() == state.value().objects_size() &&
                  reparsed.value().revision() == state.value().revision(),
                "a decoded state survives a round trip through parts");
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  admin::log_entry entry;
  entry.set_revision(5);
  admin::config_state state;
  state.set_revision(5);
  state.add_objects()->mutable_workspace()->set_name("tegid");
  state.add_recent_change_ids("c-1");
  return { entry.SerializeAsString(),
           state.SerializeAsString(),
           config::EncodeHead({ { revision_number(5), "5-ab", 2 }, { revision_number(1), "1-cd", 1 } }),
           "QUJD",
           "QQ==",
           "====",
           " QUI=\n\n\n\n" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const google::protobuf::LogSilencer silencer; // protobuf logs a line for each string that is not UTF-8
  const std::string text = fuzz::ToText(aData, aSize);
  const auto entry = config::DecodeEntry(text, revision_number(5));
  fuzz::Require(entry.has_error() || entry.value().revision() == 5, "an entry has the revision of its key");
  CheckHead(text);
  CheckParts(text);
  CheckBase64(text);
  return 0;
}
