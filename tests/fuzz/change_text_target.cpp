/// Fuzzes the parsers of configuration changes as INI and JSON texts.

#include "cli/change_text.h"
#include "fuzz/fuzz_target.h"

using namespace chervilpulley;

namespace {

void Check(const cli::change_result<admin::change>& aResult)
{
  if (aResult.has_error()) {
    fuzz::Require(!aResult.error().empty(), "a rejected text has an error");
    return;
  }
  fuzz::Require(aResult.value().operations_size() > 0, "a change has at least one operation");
  for (const admin::operation& operation : aResult.value().operations()) {
    fuzz::Require(operation.op() != admin::CHANGE_OP_UNSPECIFIED, "an operation has a kind");
    fuzz::Require(!operation.ref().name().empty(), "an operation names its object");
  }
}

} // namespace

std::vector<std::string> fuzz::SeedInputs()
{
  return { "[change]\nid = c-1\n[workspace tegid]\nop = create\nweight = 2\n[route tegid/winches]\npool = p\n",
           "[workspace tegid]\nop = delete\nexpected_version = 3\n# comment\n[model m]\nlayers = 8\n",
           R"({"changeId":"c-1","operations":[{"object":{"workspace":{"name":"tegid","weight":2}}}]})",
           R"({"operations":[{"op":"CHANGE_OP_DELETE","ref":{"kind":"OBJECT_KIND_WORKSPACE","name":"tegid"}}]})" };
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* aData, std::size_t aSize)
{
  const std::string text = fuzz::ToText(aData, aSize);
  Check(cli::ParseChange(text, "x"));
  Check(cli::ParseChangeIni(text, "x"));
  Check(cli::ParseChangeJson(text, "x"));
  return 0;
}
