#include "policy/crash_journal.h"

#include <catch2/catch.hpp>

#include "gateway/wire.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;

namespace {

constexpr run_trait kPart(1);
constexpr run_trait kWhole(2);
constexpr run_trait kOtherPart(3);
const instant kStart = instant() + std::chrono::hours(24);
const calendar_time kMorning = calendar_time() + std::chrono::hours(480'000);

interrupted_run Crash(unsigned aServer, std::vector<run_trait> aTraits, instant aAt)
{
  return { std::move(aTraits), { backend_id("engine-" + std::to_string(aServer)), aServer }, aAt, "request" };
}

/// The findings as a process reads them aLater by the time of day.
crash_findings WrittenAndRead(const crash_findings& aFindings, duration aLater)
{
  const std::string spec = gateway::wire::EncodeFindings(aFindings, kStart, kMorning);
  const auto readAt = kMorning + std::chrono::duration_cast<std::chrono::milliseconds>(aLater);
  std::string fault;
  const auto found = gateway::wire::DecodeFindings(spec, kStart, readAt, fault);
  REQUIRE(found);
  return *found;
}

} // namespace

// A process that starts must know what all processes before it have found out about a crashing request.
TEST_CASE("crash_journal_written_and_read_gives_the_same_crashes_blocks_and_outputs")
{
  crash_journal journal;
  journal.Found(Crash(1, { kPart, run_trait(18'446'744'073'709'551'615U) }, kStart - std::chrono::seconds(5)));
  journal.Found(Crash(2, { kPart, kWhole }, kStart - std::chrono::seconds(3)));
  journal.Blocked({ kWhole, 3, std::chrono::seconds(100), kStart - std::chrono::seconds(9) }, kStart);
  journal.Cleared({ kPart }, kStart - std::chrono::seconds(1));
  const crash_findings read = WrittenAndRead(journal.Findings(kStart), std::chrono::seconds(2));
  REQUIRE(read.mCrashes.size() == 2);
  CHECK(read.mCrashes[0].mTraits == std::vector{ kPart, run_trait(18'446'744'073'709'551'615U) });
  CHECK(read.mCrashes[1].mServer == server_start{ backend_id("engine-2"), 2 });
  CHECK(read.mCrashes[1].mAt == kStart - std::chrono::seconds(5));
  REQUIRE(read.mBlocks.size() == 1);
  CHECK(read.mBlocks[0].mTrait == kWhole);
  CHECK(read.mBlocks[0].mCrashes == 3);
  CHECK(read.mBlocks[0].mTimeLeft == std::chrono::seconds(98));
  REQUIRE(read.mCleared.size() == 1);
  CHECK(read.mCleared[0].mAt == kStart - std::chrono::seconds(3));
}

TEST_CASE("crash_journal_read_when_its_entries_are_forgotten_is_empty")
{
  crash_journal journal;
  journal.Found(Crash(1, { kWhole }, kStart));
  journal.Blocked({ kWhole, 3, std::chrono::seconds(100), kStart }, kStart);
  CHECK(WrittenAndRead(journal.Findings(kStart), kCrashRecordLife + std::chrono::seconds(101)).IsEmpty());
  journal.TimePassed(kStart + kCrashRecordLife + std::chrono::seconds(101));
  CHECK(journal.Findings(kStart).IsEmpty());
}

TEST_CASE("crash_journal_read_by_a_clock_that_is_behind_the_writers_takes_the_ages_as_written")
{
  crash_journal journal;
  journal.Found(Crash(1, { kWhole }, kStart - std::chrono::seconds(5)));
  const crash_findings read = WrittenAndRead(journal.Findings(kStart), -std::chrono::hours(1));
  REQUIRE(read.mCrashes.size() == 1);
  CHECK(read.mCrashes[0].mAt == kStart - std::chrono::seconds(5));
}

// A block that later output has contradicted must not come back with the next process.
TEST_CASE("crash_journal_of_traits_that_had_output_since_keeps_neither_block_nor_crash")
{
  crash_journal journal;
  journal.Found(Crash(1, { kPart, kWhole }, kStart));
  journal.Blocked({ kPart, 3, std::chrono::seconds(100), kStart }, kStart);
  journal.Cleared({ kPart }, kStart + std::chrono::seconds(1));
  const crash_findings left = journal.Findings(kStart);
  CHECK(left.mBlocks.empty());
  CHECK(left.mCrashes.size() == 1); // it may still be the request as a whole
  journal.Cleared({ kWhole }, kStart + std::chrono::seconds(2));
  CHECK(journal.Findings(kStart).IsEmpty());
  CHECK(journal.Findings(kStart).mCleared.empty());
}

TEST_CASE("crash_journal_with_output_before_a_crash_keeps_the_crash")
{
  crash_journal journal;
  journal.Found(Crash(1, { kWhole }, kStart));
  journal.Cleared({ kWhole }, kStart - std::chrono::seconds(1));
  CHECK(journal.Findings(kStart).mCrashes.size() == 1);
}

// Servers that end for other reasons must not displace the crashes of a harmful request.
TEST_CASE("crash_journal_that_is_full_drops_lone_crashes_first")
{
  crash_journal journal;
  journal.Found(Crash(1, { kOtherPart, kWhole }, kStart));
  journal.Found(Crash(2, { kOtherPart, run_trait(10) }, kStart));
  for (unsigned server = 100; server < 300; ++server) {
    journal.Found(Crash(server, { run_trait(server) }, kStart));
  }
  const crash_findings findings = journal.Findings(kStart);
  CHECK(findings.mCrashes.size() == kMaxJournalCrashes);
  CHECK(findings.mCrashes[0].mTraits.front() == kOtherPart);
  CHECK(findings.mCrashes[1].mTraits.front() == kOtherPart);
}

TEST_CASE("crash_findings_that_are_malformed_are_skipped_one_by_one")
{
  std::string fault;
  const auto decode = [&](const char* aSpec) { return gateway::wire::DecodeFindings(aSpec, kStart, kMorning, fault); };
  CHECK_FALSE(decode("null"));
  CHECK_FALSE(decode("{"));
  CHECK_FALSE(decode(R"({"crashes":[]})"));
  const auto found = decode(R"({"written_at":1e300,"crashes":7})");
  CHECK_FALSE(found);
  const auto odd = decode(R"({"written_at":1728000000000,"crashes":[1,{},{"traits":[1,"x","-1"],"server":"e"},
    {"traits":["5"],"server":7},{"traits":["5"],"server":"e","started_at":-3,"ms_ago":-1}],
    "blocks":[{"trait":"z"},{"trait":"6","for_ms":1e18}],"cleared":[null,{"trait":5}]})");
  REQUIRE(odd);
  CHECK(odd->mCrashes.size() == 1);
  CHECK(odd->mBlocks.size() == 1);
  CHECK(odd->mCleared.empty());
}
