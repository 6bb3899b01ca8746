#include "cli/cli.h"

int main(int aCount, char** aWords)
{
  using namespace chervilpulley;
  const std::vector<cli::role_command> roles{};
  return cli::Main(aCount, aWords, roles);
}
