/// Fuzzes the parser of the settings file.

#include "base/settings.h"
#include "fuzz/fuzz_target.h"

using namespace chervilpulley;

std::vector<std::string> fuzz::SeedInputs()
{
  return { "[instance]\nid = a\nfailure_domain = f1\n[platform]\naddress = 127.0.0.1:1\n[security]\ncluster_key = k\n",
           "; comment\n[instance]\nid = a ; comment\nid = b\n[other]\nx = 1\n",
           "[instance\nid a\n= b\n" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const auto parsed = ParseSettings(fuzz::ToText(aData, aSize), "x.ini");
  if (parsed.has_error()) {
    fuzz::Require(!parsed.error().empty(), "a rejected text has an error");
    for (const settings_fault& fault : parsed.error()) {
      fuzz::Require(fault.mText.rfind("x.ini: ", 0) == 0, "an error names its file");
    }
    return 0;
  }
  fuzz::Require(!parsed.value().security().cluster_key().empty(), "a required key is present");
  return 0;
}
