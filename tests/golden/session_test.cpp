#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

#include "cli/cli.h"
#include "support/admin_fixture.h"

using namespace chervilpulley;
using namespace chervilpulley::test;

namespace {

/// Set to write the sessions anew; the difference is then read before it is committed.
constexpr const char* kUpdateVariable = "CHERVILPULLEY_UPDATE_GOLDEN";

int StartRole(const settings::settings& aSettings)
{
  return aSettings.instance().threads() > 0 ? 0 : 1;
}

std::string FolderOfSessions()
{
  const char* source = std::getenv("CHERVILPULLEY_SOURCE");
  return std::string(source == nullptr ? "." : source) + "/tests/golden/";
}

std::string ReadFile(const std::string& aFile)
{
  std::ifstream in(aFile);
  REQUIRE(in);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// What differs from run to run is replaced by a name.
std::string WithoutVaryingParts(std::string aText)
{
  aText = std::regex_replace(aText, std::regex("127\\.0\\.0\\.1:[1-9][0-9]*"), "<address>");
  aText = std::regex_replace(aText, std::regex("fingerprint:[0-9a-f]+"), "fingerprint:<hex>");
  aText = std::regex_replace(aText, std::regex("[0-9a-f]{64}"), "<digest>");
  aText = std::regex_replace(aText, std::regex("[0-9a-f]{48}"), "<secret>");
  aText = std::regex_replace(aText, std::regex("[0-9a-f]{32}"), "<salt>");
  aText = std::regex_replace(aText, std::regex("[0-9a-f]{24}"), "<change id>");
  return aText;
}

std::vector<std::string> SplitWords(const std::string& aLine)
{
  std::istringstream in(aLine);
  std::vector<std::string> words;
  for (std::string word; in >> word;) {
    words.push_back(word.starts_with("@") ? FolderOfSessions() + word.substr(1) : word);
  }
  return words;
}

/// Runs the commands of a session file ("$ command ..."; "@name" is a file beside it) and compares what they print.
class session_fixture : public admin_fixture
{
public:
  /// The session with the outputs of this run.
  std::string Run(const std::string& aSession, const std::vector<std::string>& aExtraWords)
  {
    std::string text;
    std::istringstream lines(aSession);
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with("#")) {
        text += line + "\n";
      } else if (line.starts_with("% as ")) {
        text += "\n" + line + "\n";
        setenv("CHERVILPULLEY_KEY", line.substr(5).c_str(), 1);
      } else if (line.starts_with("$ ")) {
        text += "\n" + line + "\n" + RunCommand(line.substr(2), aExtraWords);
      }
    }
    return text;
  }

  void Check(const std::string& aName, const std::vector<std::string>& aExtraWords)
  {
    const std::string file = FolderOfSessions() + aName;
    const std::string expected = ReadFile(file);
    const std::string got = Run(expected, aExtraWords);
    if (std::getenv(kUpdateVariable) != nullptr) {
      std::ofstream(file) << got;
    }
    CHECK(got == expected);
  }

private:
  std::string RunCommand(const std::string& aLine, const std::vector<std::string>& aExtraWords)
  {
    std::vector<std::string> words = SplitWords(aLine);
    words.insert(words.end(), aExtraWords.begin(), aExtraWords.end());
    std::ostringstream out;
    const auto commands = cli::Commands({ { "entry", "Serves callers and operators.", StartRole } });
    const int status = cli::RunCommandLine(words, commands, { out, out });
    std::string text = WithoutVaryingParts(out.str());
    for (std::size_t at = text.find(FolderOfSessions()); at != std::string::npos; at = text.find(FolderOfSessions())) {
      text.replace(at, FolderOfSessions().size(), "@");
    }
    return text + "exit " + std::to_string(status) + "\n";
  }
};

} // namespace

TEST_CASE_METHOD(session_fixture, "command_line_local_session_prints_the_golden_text")
{
  unsetenv("CHERVILPULLEY_KEY");
  Check("cli_local.session", {});
}

TEST_CASE_METHOD(session_fixture, "command_line_operator_session_prints_the_golden_text")
{
  setenv("CHERVILPULLEY_KEY", "alice.s", 1);
  Check("operator.session", { "--address", mServer->LocalEndpoint().Str() });
  unsetenv("CHERVILPULLEY_KEY");
}
