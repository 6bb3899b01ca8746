#pragma once

#include "policy/crash_record.h"

/// What one gateway has found out about crashes and keeps in the platform's store, so that it outlasts all gateways. It
/// holds the crashes and blocks that this gateway has found itself; those of the others are in their own objects.
namespace chervilpulley::policy {

/// Bounds on the object of one gateway: about 70 KB if each prompt has 31 parts.
inline constexpr std::size_t kMaxJournalCrashes = 32;
inline constexpr std::size_t kMaxJournalBlocks = 16;

/// A trait that has had output after a crash.
struct cleared_trait
{
  run_trait mTrait;
  instant mAt; ///< of the output
};

/// Findings of one or more gateways.
struct crash_findings
{
  std::vector<interrupted_run> mCrashes; ///< on servers that have ended
  std::vector<trait_block> mBlocks;
  std::vector<cleared_trait> mCleared;

  bool IsEmpty() const { return mCrashes.empty() && mBlocks.empty(); }
  /// Adds the findings of another gateway.
  void Append(const crash_findings& aOther);
};

/// The findings of this gateway. Bounded: when it is full, crashes that have no trait in common with another one are
/// dropped first, so that servers which end for other reasons do not displace what crashes them.
class crash_journal
{
public:
  void Found(const interrupted_run& aCrash);
  void Blocked(const trait_block& aBlock, instant aNow);
  /// Records output of runs with these traits. What it contradicts is dropped.
  void Cleared(const std::vector<run_trait>& aTraits, instant aAt);
  /// Drops crashes and blocks that are forgotten by now.
  void TimePassed(instant aNow);
  /// Takes over the findings of the process that this one replaces.
  void Adopt(const crash_findings& aFindings, instant aNow);
  /// Grows with each change.
  std::uint64_t Version() const { return mVersion; }
  crash_findings Findings(instant aNow) const;

private:
  struct kept_block
  {
    trait_block mBlock;
    instant mEnd;
  };

  void EvictCrash();
  bool HasOutputAfter(run_trait aTrait, instant aAt) const;
  void DropContradicted();

  std::vector<interrupted_run> mCrashes; ///< in the order in which they were found
  std::vector<kept_block> mBlocks;
  std::map<run_trait, instant> mOutputs; ///< of traits of mCrashes and mBlocks
  std::uint64_t mVersion = 0;
};

} // namespace chervilpulley::policy
