#include "cli/cli.h"
#include "entry/entry.h"
#include "gateway/gateway.h"
#include "sidecar/sidecar.h"

int main(int aCount, char** aWords)
{
  using namespace chervilpulley;
  const std::vector<cli::role_command> roles{
    { "entry", "serves callers and operators", entry::Run },
    { "gateway", "serves callers in front of backend servers that speak HTTP themselves", gateway::Run },
    { "sidecar", "serves beside one backend server", sidecar::Run },
  };
  return cli::Main(aCount, aWords, roles);
}
