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
  const auto read = platform::ParseLiveList(fuzz::TextOf(aData, aSize));
  if (read.has_error()) {
    return 0;
  }
  for (const platform::live_instance& instance : read.value()) {
    fuzz::Require(instance.mInstance.IsValid() && instance.mFailureDomain.IsValid(), "a line names its instance");
  }
  const auto again = platform::ParseLiveList(platform::FormatLiveList(read.value()));
  fuzz::Require(again.has_value() && again.value().size() == read.value().size(), "a list that was read is written");
  return 0;
}
