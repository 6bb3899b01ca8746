#include "base/settings.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace chervilpulley;

namespace {

/// The smallest valid settings file.
const std::string kRequired = "[instance]\nid = a\nfailure_domain = f1\n[platform]\naddress = 127.0.0.1:1\n"
                              "[security]\ncluster_key = k\n";

struct settings_fixture
{
  std::vector<std::string> Faults(const std::string& aText) const
  {
    std::vector<std::string> texts;
    const auto parsed = ParseSettings(aText, "x.ini");
    if (!parsed) {
      for (const settings_fault& fault : parsed.error()) {
        texts.push_back(fault.mText);
      }
    }
    return texts;
  }
};

struct settings_case
{
  std::string mText;
  std::string mFault;
};

} // namespace

TEST_CASE_METHOD(settings_fixture, "settings_with_required_keys_only_get_defaults")
{
  const auto parsed = ParseSettings(kRequired, "x.ini");
  REQUIRE(parsed);
  REQUIRE(parsed.value().instance().threads() == 2);
  REQUIRE(parsed.value().listen().http() == "127.0.0.1:0");
  REQUIRE(parsed.value().log().level() == "info");
}

TEST_CASE_METHOD(settings_fixture, "settings_fault_names_file_section_key_and_range")
{
  const std::vector<settings_case> cases{
    { "[instance]\nthreads = 65\n",
      "x.ini: value \"65\" of key \"threads\" in section [instance] must be a whole number from 1 to 64 (threads)" },
    { "[instance]\nthreads = two\n", "value \"two\" of key \"threads\" in section [instance] must be a whole number" },
    { "[instance]\nthreads = -1\n", "value \"-1\" of key \"threads\"" },
    { "[limits]\nsubset = 99999999999\n", "must be a whole number from 1 to 1000 (links)" },
    { "[log]\nlevel = loud\n", "must be one of \"debug\" \"info\" \"warning\" \"error\"" },
    { "[instance]\ncolour = red\n", "key \"colour\" does not exist in section [instance]" },
    { "[nowhere]\na = b\n", "section [nowhere] does not exist (key \"a\")" },
    { "[log]\nlevel = info\nlevel = error\n", "key \"level\" stands twice in section [log]" },
    { "[log]\nnonsense\n", "is neither a section nor \"key = value\"" },
  };
  for (const settings_case& each : cases) {
    const auto faults = Faults(kRequired + each.mText);
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0], Catch::Contains(each.mFault));
  }
}

TEST_CASE_METHOD(settings_fixture, "settings_with_many_faults_report_all_at_once")
{
  const auto faults = Faults("[instance]\nthreads = 0\nshape = round\n[log]\nlevel = x\n");
  // Three invalid entries and the four missing required keys.
  REQUIRE(faults.size() == 7);
}

TEST_CASE_METHOD(settings_fixture, "settings_required_key_without_a_value_is_refused")
{
  const std::string text = "[instance]\nid =\nfailure_domain = f1\n[platform]\naddress = 127.0.0.1:1\n"
                           "[security]\ncluster_key =\n";
  const auto faults = Faults(text);
  REQUIRE(faults.size() == 2);
  CHECK_THAT(faults[0], Catch::Contains("key \"id\" in section [instance] must be text that is not empty"));
  CHECK_THAT(faults[1], Catch::Contains("key \"cluster_key\" in section [security] must be text that is not empty"));
}

TEST_CASE_METHOD(settings_fixture, "settings_line_that_would_be_truncated_is_refused_with_its_number")
{
  const std::string head = "[backend]\npool = ";
  CHECK(Faults(kRequired + head + std::string(191, 'p') + "\n").empty());
  for (const std::size_t size : { 192U, 300U, 5000U }) {
    const auto faults = Faults(kRequired + head + std::string(size, 'p') + "=\n[log]\nlevel = info\n");
    REQUIRE_FALSE(faults.empty());
    CHECK(faults[0] == "x.ini: line 9 is longer than 198 bytes");
  }
}

TEST_CASE_METHOD(settings_fixture, "settings_with_a_zero_byte_are_refused")
{
  const auto faults = Faults(kRequired + std::string("\0[log]\nlevel = loud\n", 20));
  REQUIRE_FALSE(faults.empty());
  CHECK(faults[0] == "x.ini: holds a zero byte");
}

TEST_CASE("settings_reference_names_every_key")
{
  const std::string page = SettingsReference();
  const auto* all = settings::settings::descriptor();
  for (int s = 0; s < all->field_count(); ++s) {
    CHECK_THAT(page, Catch::Contains("## [" + all->field(s)->name() + "]"));
    for (int k = 0; k < all->field(s)->message_type()->field_count(); ++k) {
      CHECK_THAT(page, Catch::Contains("| `" + all->field(s)->message_type()->field(k)->name() + "` |"));
    }
  }
}

TEST_CASE("settings_reference_page_in_docs_is_up_to_date")
{
  const char* source = std::getenv("CHERVILPULLEY_SOURCE");
  std::ifstream in(std::string(source == nullptr ? "." : source) + "/docs/SETTINGS.md");
  REQUIRE(in);
  std::ostringstream page;
  page << in.rdbuf();
  REQUIRE(page.str() == SettingsReference());
}
