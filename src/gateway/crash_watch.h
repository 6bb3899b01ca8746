#pragma once

#include "gateway/engine_probes.h"
#include "gateway/fleet.h"
#include "gateway/peer_hints.h"
#include "gateway/request_context.h"
#include "policy/crash_journal.h"

/// Detects what makes requests crash backend servers, and blocks requests with it before they crash more of them,
/// together with the other gateways.
namespace chervilpulley::gateway {

/// The crash record of this gateway, kept up to date by its own findings and by hints of other gateways.
class crash_watch : public ref_counted
{
public:
  /// @param aJitter fraction from 0 to 1 that differs between gateways; see policy::crash_record.
  crash_watch(ref<fleet> aFleet, ref<engine_probes> aProbes, ref<peer_hints> aHints, double aJitter);

  /// The shared parts of a request's prompt, first to last, and the request as a whole: its method, target, workspace
  /// and body, which identify it across retries and callers.
  static std::vector<run_trait> TraitsOf(const admitted_request& aRequest);
  /// Decides whether a new request may run; logs it if not.
  /// @return time after which the refused request may run.
  std::optional<duration> Refuse(const admitted_request& aRequest, instant aNow);
  /// The time for which a request that was admitted is blocked by now; nothing when it is not.
  std::optional<duration> BlockedFor(const admitted_request& aRequest, instant aNow) const;
  /// Whether a request must not be retried, because it is blocked or one more crash would block it.
  bool IsSuspect(const admitted_request& aRequest, instant aNow) const;
  /// Records a run that was interrupted before it produced output.
  void RunInterrupted(const admitted_request& aRequest, const policy::server_start& aServer, instant aNow);
  /// Clears the traits of a run that has produced output, and notifies the other gateways if one was suspected.
  void Produced(const admitted_request& aRequest);
  /// Checks the servers whose runs were interrupted; returns the number of runs that were found to be crashes.
  std::size_t Confirm(instant aNow);
  /// Ends blocks and forgets old crashes.
  void TimePassed(instant aNow);
  /// Applies findings of all gateways that were read from the store.
  void Restore(policy::crash_findings aFindings, instant aNow);
  /// What this gateway keeps in the store.
  policy::crash_journal& Journal() { return mJournal; }
  /// Sets the callback for changes of the journal.
  /// @param aIsUrgent whether one more crash would block a request or part.
  void OnFindings(std::function<void(bool aIsUrgent)> aCallback) { mOnFindings = std::move(aCallback); }
  std::size_t BlockCount(instant aNow) const { return mRecord.Blocks(aNow).size(); }

private:
  std::optional<policy::trait_block> HandleCrash(const policy::interrupted_run& aRun, instant aNow);
  void ClearFindings(const std::vector<run_trait>& aTraits, instant aAt);
  void NotifyFindings(std::uint64_t aFormerVersion, bool aIsUrgent) const;
  void HandleBlockHint(const policy::trait_block& aBlock, instant aNow);
  void HandleBlock(const policy::trait_block& aBlock, instant aNow);
  void RemindOfBlock(const policy::trait_block& aBlock, instant aNow);

  ref<fleet> mFleet;
  ref<engine_probes> mProbes;
  ref<peer_hints> mHints;
  policy::crash_record mRecord;
  policy::crash_journal mJournal;
  std::function<void(bool)> mOnFindings;
  std::map<run_trait, instant> mBlockHintAt; ///< last hint about a blocked trait, of this or another gateway
  std::map<run_trait, instant> mContradictedAt;
};

} // namespace chervilpulley::gateway
