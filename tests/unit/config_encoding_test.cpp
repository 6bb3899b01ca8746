#include "config/config_encoding.h"
#include "config/instance_table.h"
#include "config/rollout_table.h"

#include <catch2/catch.hpp>

#include "config_changes.h"

using namespace chervilpulley;
using namespace chervilpulley::config;
using namespace chervilpulley::test;

TEST_CASE("config_encoding_log_keys_sort_by_revision")
{
  REQUIRE(LogKey(revision_number(9)) == "config/log/00000000000000000009");
  REQUIRE(LogKey(revision_number(9)) < LogKey(revision_number(10)));
  REQUIRE(LogKey(revision_number(UINT64_MAX)) == "config/log/18446744073709551615");
}

TEST_CASE("config_encoding_entry_of_another_revision_is_bad_data")
{
  admin::log_entry entry;
  entry.set_revision(3);
  REQUIRE(DecodeEntry(entry.SerializeAsString(), revision_number(3)).has_value());
  REQUIRE(DecodeEntry(entry.SerializeAsString(), revision_number(4)).error().mCode == config_errc::BadData);
  REQUIRE(DecodeEntry("\xff", revision_number(4)).error().mCode == config_errc::BadData);
}

TEST_CASE("config_encoding_state_in_parts_decodes_to_the_same_state")
{
  admin::config_state state;
  state.set_revision(5);
  for (int i = 0; i < 50; ++i) {
    *state.add_objects() = Workspace("w" + std::to_string(i));
    state.add_recent_change_ids("c" + std::to_string(i));
  }
  const auto parts = EncodeParts(state, 200);
  REQUIRE(parts.size() > 5);
  REQUIRE(DecodeParts(parts).value().SerializeAsString() == state.SerializeAsString());
  REQUIRE(DecodeParts({ parts[0], "\xff" }).error().mCode == config_errc::BadData);
  state.set_revision(6);
  REQUIRE(DecodeParts({ parts[0], EncodeParts(state, 200)[1] }).error().mCode == config_errc::BadData);
}

TEST_CASE("config_encoding_bad_snapshot_head_is_bad_data")
{
  const snapshot_head head{ { revision_number(4), "4-ab", 2 }, {} };
  REQUIRE(DecodeHead(EncodeHead(head)).value().mNewest.mName == "4-ab");
  for (const char* body : { "", "{}", "[]", R"({"newest":{},"previous":{}})", R"({"newest":1,"previous":2})" }) {
    CAPTURE(body);
    REQUIRE(DecodeHead(body).error().mCode == config_errc::BadData);
  }
}

TEST_CASE("config_encoding_base64_of_any_length_decodes_to_the_same_bytes")
{
  for (const std::string& bytes : { std::string(), std::string("a"), std::string("ab"), std::string("abc\0d", 5) }) {
    REQUIRE(FromBase64(ToBase64(bytes)) == bytes);
  }
  for (const char* text : { "a", "ab=", "a!bc", "====", "ab=c" }) {
    CAPTURE(text);
    const auto bytes = FromBase64(text);
    REQUIRE((!bytes || bytes->size() < 4));
  }
}

TEST_CASE("rollout_table_report_is_forwarded_once_and_again_to_a_new_source")
{
  rollout_table table;
  const instant start{ std::chrono::seconds(100) };
  table.AddPulledReport({ "i", "d", 3, 0 }, start);
  table.AddReport(instance_id("traffic"), failure_domain_id("d"), revision_number(3), start);
  REQUIRE(table.CollectForSource(instance_id("s"), start).size() == 1);
  REQUIRE(table.CollectForSource(instance_id("s"), start).empty());
  table.AddPulledReport({ "i", "d", 4, 0 }, start);
  REQUIRE(table.CollectForSource(instance_id("s"), start).at(0).mRevision == 4);
  REQUIRE(table.CollectForSource(instance_id("t"), start).size() == 1);
  table.MarkUndelivered();
  REQUIRE(table.CollectForSource(instance_id("t"), start).size() == 1);
  REQUIRE(table.CollectForSource(instance_id("t"), start + std::chrono::seconds(31)).size() == 1);
  REQUIRE(table.CollectForSource(instance_id("t"), start + std::chrono::minutes(6)).empty());
}

TEST_CASE("rollout_table_older_report_does_not_replace_a_newer_one")
{
  rollout_table table;
  const instant start{ std::chrono::seconds(100) };
  table.AddPulledReport({ "i", "d", 4, 0 }, start);
  table.AddPulledReport({ "i", "d", 3, 500 }, start);
  REQUIRE(table.All(start).at(0).mRevision == 4);
  table.AddPulledReport({ "i", "d", 1, 0 }, start + std::chrono::seconds(1)); // the instance was replaced
  REQUIRE(table.All(start).at(0).mRevision == 1);
}

TEST_CASE("instance_table_difference_brings_another_table_to_the_same_list")
{
  const auto instance = [](int aNumber, bool aLeaving = false) {
    platform::live_instance live;
    live.mInstance = instance_id("i" + std::to_string(aNumber));
    live.mFailureDomain = failure_domain_id("d");
    live.mLeaving = aLeaving;
    live.mPeer = { "127.0.0.1", static_cast<std::uint16_t>(aNumber) };
    return live;
  };
  instance_table source;
  instance_table other;
  REQUIRE(source.Set({ instance(1), instance(2), instance(3) }));
  REQUIRE_FALSE(source.Set({ instance(3), instance(2), instance(1) }));
  REQUIRE(source.DifferenceSince(other.Digest()).mChanged.find("i3") != std::string::npos);
  REQUIRE(other.Apply(source.DifferenceSince(other.Digest())));
  REQUIRE(other.Digest() == source.Digest());
  REQUIRE(source.DifferenceSince(other.Digest()).mChanged.empty());
  REQUIRE(source.Set({ instance(1, true), instance(3), instance(4) }));
  const auto difference = source.DifferenceSince(other.Digest());
  REQUIRE_FALSE(difference.mFull);
  REQUIRE(difference.mRemoved == std::vector<std::string>{ "i2" });
  REQUIRE(difference.mChanged.find("i3") == std::string::npos);
  REQUIRE(other.Apply(difference));
  REQUIRE(other.List() == source.List());
  instance_table third;
  third.Set({ instance(9) });
  REQUIRE(source.DifferenceSince(third.Digest()).mFull);
  REQUIRE(third.Apply(source.DifferenceSince(third.Digest())));
  REQUIRE(third.Digest() == source.Digest());
  REQUIRE_FALSE(third.Apply({ 7, true, "{", {} }));
  REQUIRE(third.List() == source.List());
}
