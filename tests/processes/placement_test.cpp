#include <catch2/catch.hpp>

#include "processes/cluster.h"

using namespace chervilpulley;
using namespace chervilpulley::processes;

namespace {

constexpr std::uint64_t kTokens = 8;

struct placement_fixture
{
  cluster mCluster{ { TwoChains(1000), {}, { "domain-a", "domain-b" } } };

  bool ServesPrompt(const std::string& aPrompt)
  {
    return Text(mCluster.CheckCompletion(mCluster.CallerAt(0).Complete({ aPrompt, kTokens }), aPrompt, kTokens))
      .empty();
  }
};

} // namespace

TEST_CASE_METHOD(placement_fixture, "placement_changed_engine_loads_the_layers_that_no_other_holds")
{
  const std::string change = "[placement sidecar-engine-2]\nmodel = demo\nfirst_layer = 4\nlast_layer = 7\n";
  REQUIRE(mCluster.Apply(0, change).mStatus == 0);
  mCluster.Engine(1).mServer->Kill();
  mCluster.Engine(3).mServer->Kill();
  int round = 0;
  const bool isServed = WaitUntil([&] { return ServesPrompt("Placed " + std::to_string(round++)); });
  INFO(mCluster.Logs());
  CHECK(isServed);
}
