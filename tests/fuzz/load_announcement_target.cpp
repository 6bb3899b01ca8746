/// Fuzzes the decoder of announcements of load between gateways. What it accepts is within the bounds, and encoding it
/// gives an announcement again.

#include <boost/json.hpp>

#include "fuzz/fuzz_target.h"
#include "gateway/json_read.h"
#include "gateway/load_announcements.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;

std::vector<std::string> fuzz::SeedInputs()
{
  return { R"({"load":{"h":"x"}})",
           R"({"load":{"h":"x","t":65535,"d":{"":[12,2,8],"y":[0,21,3]},"w":[2,4294967295,5,3,1,9],"n":9}})" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  std::string fault;
  const auto value = wire::Parse(fuzz::ToText(aData, aSize), fault);
  const auto announcement = value && value->is_object() ? DecodeAnnouncement(value->get_object()) : std::nullopt;
  if (!announcement) {
    return 0;
  }
  fuzz::Require(announcement->mDomains.size() <= kMaxAnnouncedDomains, "the number of domains is bounded");
  fuzz::Require(announcement->mLargest.size() <= kMaxAnnouncedWorkspaces, "the number of workspaces is bounded");
  for (const auto& [domain, load] : announcement->mDomains) {
    fuzz::Require(domain.IsValid() && load.mInUse >= 0 && load.mInUse <= kMaxAnnouncedAmount, "use is in range");
  }
  const auto encoded = EncodeAnnouncement(*announcement);
  fuzz::Require(boost::json::serialize(encoded).size() <= kMaxAnnouncementBytes, "the encoding fits a datagram");
  fuzz::Require(DecodeAnnouncement(encoded).has_value(), "what is encoded is accepted");
  return 0;
}
