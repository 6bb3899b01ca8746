#include "cli/cli.h"
#include "cli/commands.h"
#include "cli/exit_code.h"
#include "cli/key.h"
#include "cli/suggest.h"

#include "base/random.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace chervilpulley;
using namespace chervilpulley::cli;

namespace {

int sRoleRuns = 0;

int CountRun(const settings::settings&)
{
  ++sRoleRuns;
  return ExitOk;
}

struct command_line_fixture
{
  command_line_fixture() { sRoleRuns = 0; }

  int Run(const std::vector<std::string>& aWords) { return RunCommandLine(aWords, mCommands, { mOut, mErr }); }

  std::vector<command> mCommands = Commands({ { "entry", "Serves callers.", CountRun } });
  std::ostringstream mOut;
  std::ostringstream mErr;
};

struct wrong_line
{
  std::vector<std::string> mWords;
  std::string mText;
};

} // namespace

TEST_CASE_METHOD(command_line_fixture, "command_line_invalid_words_print_the_error_and_exit_2")
{
  const std::vector<wrong_line> cases{
    { { "verison" }, "command \"verison\" does not exist; did you mean \"version\"?" },
    { { "entyr" }, "did you mean \"entry\"?" },
    { { "xxxxxxxxxxxx" }, "`chervilpulley help` lists all" },
    { { "help", "make-kye" }, "did you mean \"make-key\"?" },
    { { "entry" }, "flag \"--settings\" is needed" },
    { { "entry", "--setings", "a" }, "flag \"--setings\" does not exist; did you mean \"--settings\"?" },
    { { "entry", "--settings" }, "flag \"--settings\" needs a value" },
    { { "check-settings" }, "an argument is missing (FILE)" },
    { { "version", "now" }, "argument \"now\" is one too many" },
  };
  for (const wrong_line& each : cases) {
    mErr.str("");
    CHECK(Run(each.mWords) == ExitUsage);
    CHECK_THAT(mErr.str(), Catch::Contains(each.mText));
  }
  CHECK(sRoleRuns == 0);
}

TEST_CASE_METHOD(command_line_fixture, "load_with_invalid_numbers_exits_2")
{
  setenv("CHERVILPULLEY_KEYS", "a.s", 1);
  const std::vector<std::string> target{ "load", "--address", "127.0.0.1:0" };
  for (const char* each : { "--rate=0",
                            "--rate=inf",
                            "--rate=nan",
                            "--seconds=-1",
                            "--seconds=nan",
                            "--burst=0",
                            "--streams=-1",
                            "--max-tokens=0" }) {
    std::vector<std::string> words = target;
    words.emplace_back(each);
    CHECK(Run(words) == ExitUsage);
  }
  unsetenv("CHERVILPULLEY_KEYS");
}

TEST_CASE_METHOD(command_line_fixture, "command_line_help_of_every_command_exits_0")
{
  for (const command& each : mCommands) {
    mOut.str("");
    CHECK(Run({ std::string(each.mName), "--help" }) == ExitOk);
    CHECK_THAT(mOut.str(), Catch::StartsWith("Usage: chervilpulley " + std::string(each.mName)));
  }
}

TEST_CASE_METHOD(command_line_fixture, "command_line_flag_of_earlier_line_is_reset")
{
  REQUIRE(Run({ "entry", "--settings=/does/not/exist" }) == ExitRefused);
  REQUIRE(Run({ "entry" }) == ExitUsage);
}

TEST_CASE("make_key_given_name_hashes_its_secret")
{
  const auto made = MakeKey("alice");
  REQUIRE(made);
  REQUIRE_THAT(made.value().mKey, Catch::StartsWith("alice."));
  const std::string secret = made.value().mKey.substr(6);
  const std::string salt = made.value().mHash.substr(0, made.value().mHash.find('$'));
  REQUIRE(made.value().mHash == salt + "$" + Sha256Hex(salt + secret));
}

TEST_CASE("make_key_name_with_dot_is_refused")
{
  REQUIRE_FALSE(MakeKey("a.b"));
  REQUIRE_FALSE(MakeKey(""));
}

TEST_CASE("edit_distance_of_swapped_neighbours_is_1")
{
  REQUIRE(EditDistance("entry", "entyr") == 1);
  REQUIRE(EditDistance("", "abc") == 3);
  REQUIRE(EditDistance("kitten", "sitting") == 3);
}
