#include "cli/change_text.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::cli;

namespace {

struct change_text_fixture
{
  std::vector<std::string> Faults(const std::string& aText) const
  {
    std::vector<std::string> texts;
    const auto parsed = ParseChange(aText, "f.ini");
    if (!parsed) {
      for (const change_fault& fault : parsed.error()) {
        texts.push_back(fault.mText);
      }
    }
    return texts;
  }
};

struct fault_case
{
  std::string mText;
  std::string mFault;
};

} // namespace

TEST_CASE_METHOD(change_text_fixture, "change_ini_of_every_kind_gives_named_operations")
{
  const auto parsed = ParseChange("[change]\nid = c1\n"
                                  "; a comment\n"
                                  "[workspace drafting]\nweight = 3\napi_key_hashes = a$b\napi_key_hashes = c$d\n"
                                  "[pool engines]\nkind = engine\n"
                                  "[model demo]\nlayer_count = 8\npool = engines\n"
                                  "[route drafting/bookings]\nidempotent = false\nkey_required = true\nop = create\n"
                                  "[placement s1]\nmodel = demo\nlast_layer = 3\nexpected_version = 7\n"
                                  "[operator_key alice]\nrole = operator\nkey_hash = a$b\n"
                                  "[workspace old]\nop = delete\n",
                                  "f.ini");
  REQUIRE(parsed);
  const admin::change& change = parsed.value();
  REQUIRE(change.change_id() == "c1");
  REQUIRE(change.operations_size() == 7);
  REQUIRE(change.operations(0).object().workspace().api_key_hashes_size() == 2);
  REQUIRE(change.operations(1).object().pool().kind() == admin::BACKEND_KIND_ENGINE);
  REQUIRE(change.operations(3).op() == admin::CHANGE_OP_CREATE);
  REQUIRE(change.operations(3).ref().name() == "drafting/bookings");
  REQUIRE(change.operations(3).object().route().workspace() == "drafting");
  REQUIRE(change.operations(4).object().placement().instance() == "s1");
  REQUIRE(change.operations(4).expected_version() == 7);
  REQUIRE(change.operations(6).op() == admin::CHANGE_OP_DELETE);
  REQUIRE_FALSE(change.operations(6).has_object());
}

TEST_CASE_METHOD(change_text_fixture, "change_ini_section_without_keys_is_an_operation")
{
  const auto parsed = ParseChange("[workspace a]\n[workspace b]\n", "f.ini");
  REQUIRE(parsed);
  REQUIRE(parsed.value().operations_size() == 2);
}

TEST_CASE_METHOD(change_text_fixture, "change_ini_long_lines_are_not_truncated")
{
  const std::string name(120, 'n');
  const std::string value(500, 'v');
  const auto parsed = ParseChange("[placement " + name + "]\nmodel = " + value + "\n", "f.ini");
  REQUIRE(parsed);
  REQUIRE(parsed.value().operations(0).object().placement().instance() == name);
  REQUIRE(parsed.value().operations(0).object().placement().model() == value);
}

TEST_CASE_METHOD(change_text_fixture, "change_text_fault_names_file_line_section_and_key")
{
  const std::vector<fault_case> cases{
    { "", "f.ini: there is no section [KIND NAME]" },
    { "weight = 1\n[workspace a]\n", "f.ini:1: a key stands before the first section" },
    { "[workspace a]\nnonsense\n", "f.ini:2: this is neither a section nor \"key = value\"" },
    { "[worspace a]\n",
      "f.ini:1: kind \"worspace\" of section [worspace a] does not exist; did you mean \"workspace\"?" },
    { "[route a]\n", "f.ini:1: section [route a] must be [route WORKSPACE/NAME]" },
    { "[pool]\n", "f.ini:1: section [pool] must be [pool NAME]" },
    { "[workspace a]\nwieght = 1\n",
      "f.ini:2: key \"wieght\" does not exist in section [workspace a]; did you mean \"weight\"?" },
    { "[workspace a]\nweight = -1\n",
      "f.ini:2: value \"-1\" of key \"weight\" in section [workspace a] must be a whole number from 0 to 4294967295" },
    { "[workspace a]\nweight = 4294967296\n", "must be a whole number from 0 to 4294967295" },
    { "[workspace a]\nweight = 1\nweight = 2\n", "f.ini:3: key \"weight\" stands twice in section [workspace a]" },
    { "[workspace a]\n[workspace a]\n", "f.ini:2: section [workspace a] stands twice" },
    { "[workspace a]\nname = b\n", "f.ini:2: key \"name\" is given by the name of section [workspace a]" },
    { "[pool a]\nkind = motor\n", "must be one of \"engine\" \"service\"" },
    { "[route a/b]\nidempotent = 2\n", "must be true or false" },
    { "[workspace a]\nop = destroy\n", "must be one of \"create\" \"update\" \"delete\" \"put\"" },
    { "[workspace a]\nop = delete\nweight = 2\n",
      "section [workspace a] deletes, so it has no keys but \"op\" and \"expected_version\"" },
    { "[change]\nname = c\n", "f.ini:2: key \"name\" does not exist in section [change]" },
    { "{\"operations\":[", "f.ini: " },
    { "{\"operation\":[]}", "f.ini: " },
    { "{}", "f.ini: there are no operations" },
    { "{\"operations\":[{\"op\":\"CHANGE_OP_PUT\"}]}", "f.ini: operation 1 has no object" },
    { "{\"operations\":[{\"op\":\"CHANGE_OP_DELETE\"}]}", "f.ini: operation 1 names no object" },
  };
  for (const fault_case& each : cases) {
    INFO(each.mText);
    const auto faults = Faults(each.mText);
    REQUIRE(faults.size() == 1);
    CHECK_THAT(faults[0], Catch::Contains(each.mFault));
  }
}

TEST_CASE_METHOD(change_text_fixture, "change_ini_with_many_faults_reports_all_at_once")
{
  REQUIRE(Faults("[workspace a]\nweight = x\ncolour = red\n[root b]\nnonsense\n").size() == 4);
}

TEST_CASE_METHOD(change_text_fixture, "change_json_without_ref_takes_it_from_the_object")
{
  const auto parsed = ParseChange(
    "{\"changeId\":\"c1\",\"operations\":[{\"object\":{\"route\":{\"workspace\":\"a\",\"name\":\"b\"}}}]}", "f");
  REQUIRE(parsed);
  REQUIRE(parsed.value().operations(0).ref().name() == "a/b");
  REQUIRE(parsed.value().operations(0).op() == admin::CHANGE_OP_PUT);
}
