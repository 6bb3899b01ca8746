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

/// When this variable is set, the test rewrites the session files; review the diff before committing it.
constexpr const char* kUpdateVariable = "CHERVILPULLEY_UPDATE_GOLDEN";

int StartRole(const settings::settings& aSettings)
{
  return aSettings.instance().threads() > 0 ? 0 : 1;
}

std::string SessionDirectory()
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

/// Replaces the parts that differ between runs by placeholders.
std::string ReplaceVaryingParts(std::string aText)
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
    words.push_back(word.starts_with("@") ? SessionDirectory() + word.substr(1) : word);
  }
  return words;
}

/// Runs the commands of a session file ("$ command ..."; "@name" is a file in the same directory) and compares their
/// output.
class session_fixture : public admin_fixture
{
public:
  /// Returns the session with the output of this run.
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
    const std::string file = SessionDirectory() + aName;
    const std::string expected = ReadFile(file);
    const std::string actual = Run(expected, aExtraWords);
    if (std::getenv(kUpdateVariable) != nullptr) {
      std::ofstream(file) << actual;
    }
    CHECK(actual == expected);
  }

private:
  std::string RunCommand(const std::string& aLine, const std::vector<std::string>& aExtraWords)
  {
    std::vector<std::string> words = SplitWords(aLine);
    words.insert(words.end(), aExtraWords.begin(), aExtraWords.end());
    std::ostringstream out;
    const auto commands = cli::Commands({ { "entry", "Serves callers and operators.", StartRole } });
    const int status = cli::RunCommandLine(words, commands, { out, out });
    std::string text = ReplaceVaryingParts(out.str());
    for (std::size_t at = text.find(SessionDirectory()); at != std::string::npos; at = text.find(SessionDirectory())) {
      text.replace(at, SessionDirectory().size(), "@");
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
