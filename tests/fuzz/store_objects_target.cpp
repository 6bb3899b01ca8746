/// Fuzzes the decoders of the store's responses: a list, a page of changes and a single object.

#include "fuzz/fuzz_target.h"
#include "gateway/wire.h"
#include "support/odd_entries.h"

using namespace chervilpulley;
using namespace chervilpulley::gateway;

namespace {

std::string ObjectWith(const std::string& aSpec)
{
  return R"({"metadata":{"name":"i-1","revision":5,"finalizers":[]},"spec":)" + aSpec + R"(,"status":null})";
}

void DecodeMemberOf(const wire::record& aRecord)
{
  std::string fault;
  const auto member = wire::DecodeMember(aRecord.mName, aRecord.mSpec, fault);
  fuzz::Require(member.has_value() || !fault.empty(), "an entry that is skipped has a reason");
  if (member) {
    fuzz::Require(member->mId.IsValid(), "a server has an id");
  }
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  std::vector<std::string> seeds;
  for (const auto& entries : { testing::UnreadableEntries(), testing::InvalidEntries() }) {
    for (const testing::odd_entry& odd : entries) {
      // The driver mutates short inputs only.
      if (odd.mSpec.size() < 1000) {
        const std::string object = ObjectWith(odd.mSpec);
        seeds.push_back(R"({"items":[)" + object + "," + object + R"(],"truncated":false,"currentRev":9})");
        seeds.push_back(R"({"events":[{"deleted":false,"object":)" + object + R"(}],"currentRev":9})");
      }
    }
  }
  seeds.push_back(ObjectWith(testing::SpecWith("extra", "1")));
  return seeds;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text = fuzz::ToText(aData, aSize);
  std::string fault;
  if (const auto list = wire::DecodeList(text, policy::store_era(1), fault)) {
    for (const wire::record& item : list->mItems) {
      DecodeMemberOf(item);
    }
  }
  if (const auto changes = wire::DecodeChanges(text, policy::store_era(1), fault)) {
    for (const wire::record_change& change : changes->mChanges) {
      DecodeMemberOf(change.mObject);
    }
  }
  if (const auto object = wire::DecodeRecord(text, policy::store_era(1), fault)) {
    DecodeMemberOf(*object);
    wire::DecodeGateway(object->mSpec, fault);
  }
  return 0;
}
