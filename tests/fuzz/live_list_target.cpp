/// Fuzzes the parser of the platform's live list.

#include "fuzz/fuzz_target.h"
#include "platform/live_list.h"

using namespace chervilpulley;

std::vector<std::string> fuzz::SeedInputs()
{
  return { R"({"instances":[{"instance":"a","role":"entry","failure_domain":"f","state":"live","http":"127.0.0.1:80"},)"
           R"({"instance":"b","role":"sidecar","failure_domain":"f","pool":"p","state":"leaving","link":"[::1]:81"}]})",
           R"({"instances":[{"instance":"a","role":"sidecar","failure_domain":"f"},null,7,[]]})",
           R"({"instances":[]})" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto parsed = platform::ParseLiveList(fuzz::ToText(aData, aSize));
  if (parsed.has_error()) {
    return 0;
  }
  for (const platform::live_instance& instance : parsed.value()) {
    fuzz::Require(instance.mInstance.IsValid() && instance.mFailureDomain.IsValid(),
                  "an entry has an instance and a failure domain");
  }
  const auto reparsed = platform::ParseLiveList(platform::FormatLiveList(parsed.value()));
  fuzz::Require(reparsed.has_value() && reparsed.value().size() == parsed.value().size(),
                "a parsed list keeps its length in a round trip");
  return 0;
}
