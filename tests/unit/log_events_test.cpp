#include "base/log_events.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

using namespace chervilpulley;

namespace {

/// Reads the sources, to compare the catalogue with the fields that they write.
struct log_events_fixture
{
  std::string mSource = std::getenv("CHERVILPULLEY_SOURCE") == nullptr ? "." : std::getenv("CHERVILPULLEY_SOURCE");

  static std::string Read(const std::filesystem::path& aFile)
  {
    std::ifstream in(aFile);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }

  /// Fields by enumerator, extracted from the statements that write log lines.
  std::map<std::string, std::set<std::string>> WrittenFields() const
  {
    const std::regex statement(R"(log_line\(([^;]*?)\)(\s*\.[^;]*)?;)");
    const std::regex event(R"(log_event::(\w+))");
    const std::regex field(R"rx(\.(?:Text|Quote|Count|Number)\(([^;]*?"([a-z_]+)"(?:\s*:\s*"([a-z_]+)")?))rx");
    std::map<std::string, std::set<std::string>> fields;
    for (const auto& each : std::filesystem::directory_iterator(mSource + "/src/gateway")) {
      const std::string text = Read(each.path());
      for (std::sregex_iterator at(text.begin(), text.end(), statement), end; at != end; ++at) {
        const std::string logStatement = at->str();
        std::set<std::string> names;
        for (std::sregex_iterator name(logStatement.begin(), logStatement.end(), field); name != end; ++name) {
          names.insert((*name)[2]);
          names.insert((*name)[3]);
        }
        names.erase("");
        for (std::sregex_iterator eventMatch(logStatement.begin(), logStatement.end(), event); eventMatch != end;
             ++eventMatch) {
          fields[(*eventMatch)[1]].insert(names.begin(), names.end());
        }
      }
    }
    return fields;
  }

  /// Returns "StreamSent" for "stream_sent".
  static std::string Enumerator(std::string_view aName)
  {
    std::string name;
    bool isUpper = true;
    for (const char letter : aName) {
      if (letter != '_') {
        name += isUpper ? static_cast<char>(std::toupper(letter)) : letter;
      }
      isUpper = letter == '_';
    }
    return name;
  }
};

} // namespace

TEST_CASE_METHOD(log_events_fixture, "log_events_page_in_docs_is_up_to_date")
{
  CHECK(Read(mSource + "/docs/EVENTS.md") == EventsReference());
}

TEST_CASE_METHOD(log_events_fixture, "log_events_list_the_fields_that_the_sources_write")
{
  const auto written = WrittenFields();
  std::size_t known = 0;
  for (auto at = log_event::Started; at <= log_event::CallerConnectionsLimited;
       at = static_cast<log_event>(static_cast<unsigned>(at) + 1)) {
    const log_event_entry& entry = EntryOf(at);
    INFO(entry.mName);
    const auto found = written.find(Enumerator(entry.mName));
    REQUIRE(found != written.end());
    std::istringstream in{ std::string(entry.mFields) };
    std::set<std::string> listed;
    for (std::string name; in >> name;) {
      listed.insert(name);
    }
    CHECK(listed == found->second);
    CHECK(EventNamed(entry.mName) == at);
    ++known;
  }
  CHECK(known == written.size());
}

TEST_CASE("log_event_of_another_release_is_unknown")
{
  CHECK_FALSE(EventNamed("stream_of_next_year"));
}
