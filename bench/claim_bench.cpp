#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/claim_journal.h"

// Measures what claims cost in the claim journal, without I/O: time, encoded bytes, and writes per claim.

namespace {

using namespace chervilpulley;
using namespace chervilpulley::policy;

/// In-memory object store of one partition that never fails.
class benchmark_store
{
public:
  journal_reply Apply(const journal_step& aStep)
  {
    const bool isOpen = aStep.mAction == journal_action::ReadOpen || aStep.mAction == journal_action::CreateOpen ||
                        aStep.mAction == journal_action::UpdateOpen;
    const std::uint64_t key = isOpen ? 0 : aStep.mSealed.Value();
    switch (aStep.mAction) {
      case journal_action::ReadOpen:
      case journal_action::ReadSealed:
        return Read(key);
      case journal_action::DeleteSealed:
        mObjects.erase(key);
        return { store_response::Ok, {}, {} };
      default:
        break;
    }
    ++mWrites;
    mWrittenBytes += aStep.mBody.size();
    mObjects[key] = { aStep.mBody, ++mSequence };
    return { store_response::Ok, segment_version(mSequence), {} };
  }

  std::uint64_t mWrites = 0;
  std::uint64_t mWrittenBytes = 0;

private:
  struct object
  {
    std::string mBody;
    std::uint64_t mVersion = 0;
  };

  journal_reply Read(std::uint64_t aKey) const
  {
    const auto found = mObjects.find(aKey);
    if (found == mObjects.end()) {
      return { store_response::NotFound, {}, {} };
    }
    return { store_response::Ok, segment_version(found->second.mVersion), found->second.mBody };
  }

  std::map<std::uint64_t, object> mObjects;
  std::uint64_t mSequence = 0;
};

constexpr std::chrono::milliseconds kRetention = std::chrono::hours(72);

claim_request MakeRequest(std::uint64_t aNumber, calendar_time aNow)
{
  claim_request request;
  request.mKey = MakeClaimKey(workspace_id("tegid"), route_name("winches"), std::to_string(aNumber));
  request.mId = claim_id(aNumber * 0x9e3779b97f4a7c15ULL);
  request.mBody = body_digest(aNumber * 0xff51afd7ed558ccdULL);
  request.mLifetime = { aNow + kRetention, std::nullopt };
  return request;
}

/// Applies the steps of the journal to the store until none is left.
void RunUntilIdle(claim_journal& aJournal, benchmark_store& aStore, calendar_time aNow)
{
  for (auto step = aJournal.Next(aNow); step.mAction != journal_action::Idle; step = aJournal.Next(aNow)) {
    aJournal.HandleReply(aStore.Apply(step), aNow);
  }
}

/// Claims in groups of range(0); with range(1), each also gets a result of 120 bytes in a group of the same size.
void ClaimGroup(benchmark::State& aState)
{
  const auto group = static_cast<std::uint64_t>(aState.range(0));
  const bool hasResults = aState.range(1) != 0;
  const calendar_time now(std::chrono::hours(24 * 365 * 56));
  benchmark_store store;
  claim_journal journal;
  journal::answer answer;
  answer.set_status(201);
  answer.set_body(std::string(120, 'x'));
  std::uint64_t number = 0;
  for (auto iteration : aState) {
    static_cast<void>(iteration);
    std::vector<claim_request> requests;
    for (std::uint64_t i = 0; i < group; ++i) {
      requests.push_back(MakeRequest(++number, now));
      journal.Claim(requests.back());
    }
    RunUntilIdle(journal, store, now);
    benchmark::DoNotOptimize(journal.TakeDecisions());
    if (!hasResults) {
      continue;
    }
    for (const auto& request : requests) {
      journal.WriteResult(request, answer, now);
    }
    RunUntilIdle(journal, store, now);
    benchmark::DoNotOptimize(journal.TakeReports());
  }
  const auto claims = static_cast<double>(number);
  aState.SetItemsProcessed(static_cast<std::int64_t>(number));
  aState.counters["writes_per_claim"] = static_cast<double>(store.mWrites) / claims;
  aState.counters["written_bytes_per_claim"] = static_cast<double>(store.mWrittenBytes) / claims;
}

BENCHMARK(ClaimGroup)->ArgNames({ "group", "results" })->ArgsProduct({ { 1, 16, 128 }, { 0, 1 } });

/// Retries of a claim that is recorded in one of range(0) sealed segments.
void RepeatAmongSealed(benchmark::State& aState)
{
  const calendar_time now(std::chrono::hours(24 * 365 * 56));
  benchmark_store store;
  claim_journal writer;
  std::uint64_t number = 0;
  const auto perSegment = static_cast<std::int64_t>(claim_limits().mSegmentBytes / 50);
  while (number < static_cast<std::uint64_t>(aState.range(0) * perSegment)) {
    for (int i = 0; i < 500; ++i) {
      writer.Claim(MakeRequest(++number, now));
    }
    RunUntilIdle(writer, store, now);
  }
  std::uint64_t retry = 0;
  std::uint64_t id = number;
  for (auto iteration : aState) {
    static_cast<void>(iteration);
    claim_request request = MakeRequest(1 + retry++ % 1000, now);
    request.mId = claim_id(++id);
    writer.Claim(request);
    RunUntilIdle(writer, store, now);
    benchmark::DoNotOptimize(writer.TakeDecisions());
  }
}

BENCHMARK(RepeatAmongSealed)->Arg(1)->Arg(10)->Arg(100);

/// Encoded size of one claim in a segment of 1000, and of its part of the filter that a process keeps in memory.
void ClaimSize(benchmark::State& aState)
{
  const calendar_time now(std::chrono::hours(24 * 365 * 56));
  constexpr std::uint64_t kClaims = 1000;
  std::vector<journal::entry> entries;
  for (std::uint64_t i = 1; i <= kClaims; ++i) {
    const claim_request request = MakeRequest(i, now);
    journal::entry entry;
    entry.set_key(request.mKey.Str());
    entry.set_claim_id(request.mId.Value());
    entry.set_body_digest(request.mBody.Value());
    entry.set_expires_unix_s(UnixSeconds(request.mLifetime.mExpires));
    entries.push_back(entry);
  }
  std::size_t bytes = 0;
  for (auto iteration : aState) {
    static_cast<void>(iteration);
    bytes = EncodeSegment(entries, {}).size();
  }
  aState.counters["bytes_per_claim"] = static_cast<double>(bytes) / kClaims;
  aState.counters["filter_bytes_per_claim"] = static_cast<double>(MakeFilter(entries).Bytes()) / kClaims;
}

BENCHMARK(ClaimSize);

/// Simulates sidecars that claim in the same partition concurrently, in virtual time.
class contended_partition
{
public:
  static constexpr std::chrono::milliseconds kStoreTime{ 4 }; ///< half before a call takes effect, half after

  explicit contended_partition(std::size_t aClaimants)
    : mClaimants(aClaimants)
  {
  }

  /// Adds one claim after each aGap and runs until all aClaims are decided.
  void Run(std::uint64_t aClaims, std::chrono::microseconds aGap)
  {
    std::chrono::microseconds nextArrival{ 0 };
    std::uint64_t arrived = 0;
    while (mDecided < aClaims) {
      if (arrived < aClaims && mNow >= nextArrival) {
        AddClaim(++arrived);
        nextArrival += aGap;
      }
      for (auto& claimant : mClaimants) {
        Advance(claimant);
      }
      mNow += std::chrono::microseconds(100);
    }
  }

  std::uint64_t Writes() const { return mWrites; }
  std::uint64_t NotWon() const { return mNotWon; }
  /// Time from the arrival of a claim to its decision, in milliseconds.
  double Latency(double aQuantile)
  {
    std::sort(mLatencies.begin(), mLatencies.end());
    const auto index = static_cast<std::size_t>(aQuantile * static_cast<double>(mLatencies.size() - 1));
    return static_cast<double>(mLatencies[index].count()) / 1000;
  }

private:
  /// A sidecar with at most one store call in progress.
  struct claimant
  {
    claim_journal mJournal;
    journal_step mStep;
    std::optional<journal_reply> mReply;
    std::chrono::microseconds mDue{ 0 };
  };

  calendar_time Calendar() const
  {
    return calendar_time(std::chrono::hours(24 * 365 * 56)) +
           std::chrono::duration_cast<std::chrono::milliseconds>(mNow);
  }

  void AddClaim(std::uint64_t aNumber)
  {
    claim_request request = MakeRequest(aNumber, Calendar());
    mArrivalTimes[request.mId.Value()] = mNow;
    mClaimants[aNumber * 7919 % mClaimants.size()].mJournal.Claim(request);
  }

  void Advance(claimant& aClaimant)
  {
    if (aClaimant.mStep.mAction == journal_action::Idle) {
      StartNextStep(aClaimant);
    } else if (mNow >= aClaimant.mDue && !aClaimant.mReply) {
      aClaimant.mReply = Apply(aClaimant.mStep);
      aClaimant.mDue = mNow + kStoreTime / 2;
    } else if (mNow >= aClaimant.mDue) {
      aClaimant.mJournal.HandleReply(*std::exchange(aClaimant.mReply, std::nullopt), Calendar());
      StartNextStep(aClaimant);
    }
  }

  void StartNextStep(claimant& aClaimant)
  {
    aClaimant.mStep = aClaimant.mJournal.Next(Calendar());
    aClaimant.mDue = mNow + kStoreTime / 2;
    for (const auto& decision : aClaimant.mJournal.TakeDecisions()) {
      ++mDecided;
      mNotWon += decision.mStatus == claim_status::Won ? 0 : 1;
      mLatencies.push_back(mNow - mArrivalTimes.at(decision.mId.Value()));
    }
  }

  journal_reply Apply(const journal_step& aStep)
  {
    const bool isRead = aStep.mAction == journal_action::ReadOpen || aStep.mAction == journal_action::ReadSealed;
    mWrites += isRead ? 0 : 1;
    const bool isOpen = aStep.mAction == journal_action::CreateOpen || aStep.mAction == journal_action::UpdateOpen;
    if (isOpen && aStep.mVersion != mOpenVersion) {
      return { store_response::Conflict, {}, {} };
    }
    journal_reply reply = mStore.Apply(aStep);
    if (isOpen) {
      mOpenVersion = reply.mVersion;
    }
    return reply;
  }

  std::vector<claimant> mClaimants;
  benchmark_store mStore;
  segment_version mOpenVersion;
  std::chrono::microseconds mNow{ 0 };
  std::map<std::uint64_t, std::chrono::microseconds> mArrivalTimes;
  std::vector<std::chrono::microseconds> mLatencies;
  std::uint64_t mDecided = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mNotWon = 0;
};

/// range(0) sidecars share one partition that receives range(1) claims per second.
void ContendedPartition(benchmark::State& aState)
{
  constexpr std::uint64_t kClaims = 2000;
  for (auto iteration : aState) {
    static_cast<void>(iteration);
    contended_partition partition(static_cast<std::size_t>(aState.range(0)));
    partition.Run(kClaims, std::chrono::microseconds(1'000'000 / aState.range(1)));
    aState.counters["p50_ms"] = partition.Latency(0.5);
    aState.counters["p99_ms"] = partition.Latency(0.99);
    aState.counters["writes_per_claim"] = static_cast<double>(partition.Writes()) / kClaims;
    aState.counters["not_won"] = static_cast<double>(partition.NotWon());
  }
}

BENCHMARK(ContendedPartition)
  ->ArgNames({ "sidecars", "claims_per_second" })
  ->ArgsProduct({ { 1, 3, 10, 30 }, { 40, 335 } })
  ->Iterations(1)
  ->Unit(benchmark::kMillisecond);

} // namespace
