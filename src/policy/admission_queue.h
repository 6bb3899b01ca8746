#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <optional>
#include <unordered_map>

#include "base/result.h"
#include "chervilpulley/policy_types.h"
#include "policy/drain_rate.h"

/// Admission of requests to one backend server: a bounded queue that is shared fairly by workspaces. It is there for
/// overload: it keeps one workspace from crowding out the others, and refuses requests that would miss their deadline
/// before any work is spent on them.
namespace chervilpulley::policy {

/// Identifies a waiting request.
using admission_ticket = strong_number<struct admission_ticket_tag>;

/// Number of priority levels within a workspace; higher ones are served first.
inline constexpr std::size_t kPriorityLevels = 4;
/// Minimum weight of a workspace; lower weights are raised to it.
inline constexpr double kMinWeight = 0.05;
/// Fraction of the measured drain rate that the wait forecast assumes.
inline constexpr double kForecastRateFraction = 0.7;
/// Cost that a workspace of weight 1 may use in one round of the deficit round robin.
inline constexpr double kRoundQuantum = 512.0;

/// A request that is offered for admission.
struct admission_request
{
  workspace_id mWorkspace;
  double mWeight = 1.0; ///< weight of the workspace, from the configuration
  token_count mPromptTokens;
  token_count mOutputTokens;                  ///< upper bound of the output
  std::uint32_t mPriority = 0;                ///< clamped to kPriorityLevels - 1
  duration mFirstTokenAfterStart{ 0 };        ///< expected time from the start of the request to its first token
  std::optional<instant> mFirstTokenDeadline; ///< empty: the request may wait indefinitely
};

/// Why a request is not admitted.
enum class admission_refusal
{
  QueueFull,           ///< the workspace already fills its share of the queue
  DeadlineMissed,      ///< requests ahead of it delay its first token past the deadline
  DeadlineUnreachable, ///< even an idle backend server cannot meet its deadline
};

/// A final refusal; no part of the request was run.
struct admission_error
{
  admission_refusal mReason;
  std::optional<duration> mRetryAfter; ///< until the same request would be admitted at the current rate; empty: never
};

/// A request that has been taken out of the queue, to be run or to be failed as expired.
struct admission_grant
{
  admission_ticket mTicket;
  bool mExpired = false; ///< its deadline has passed: respond with "not run"
};

/// Cost of a request, in output tokens. Prompt tokens are processed in batches and therefore cost less.
double AdmissionCost(token_count aPromptTokens, token_count aOutputTokens);

/// Deficit round robin over workspaces by cost, with weights; priorities within a workspace. The number of requests a
/// workspace may queue shrinks with the free capacity (dynamic thresholds), so no workspace can shut out the others.
/// Offer and Cancel are O(1), Next is O(1) amortised for costs up to kRoundQuantum.
class admission_queue
{
public:
  /// aCapacity is the maximum number of waiting requests.
  explicit admission_queue(std::size_t aCapacity);
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;
  ~admission_queue();

  /// Queues the request, or refuses it; a refusal is final.
  result<admission_ticket, admission_error> Offer(const admission_request& aRequest, instant aNow);
  /// Removes and returns the next request to run, or one that has expired; to be called whenever the backend server has
  /// free capacity.
  std::optional<admission_grant> Next(instant aNow);
  /// Removes a waiting request; returns whether it was waiting.
  bool Cancel(admission_ticket aTicket);

  std::size_t Size() const { return mWaiting.size(); }
  std::size_t Capacity() const { return mCapacity; }
  /// Sum of the costs of all waiting requests.
  double Cost() const { return mCost; }
  /// Predicted wait of a request that is offered now, at kForecastRateFraction of the measured rate; 0 while the rate
  /// is unknown.
  duration PredictedWait(const admission_request& aRequest) const;

private:
  using hook = boost::intrusive::list_base_hook<>;
  struct workspace_queue;
  struct queued_request : hook
  {
    admission_ticket mTicket;
    workspace_queue* mQueue = nullptr;
    std::size_t mLevel = 0;
    double mCost = 0.0;
    std::optional<instant> mDeadline;
  };
  struct workspace_queue : hook
  {
    workspace_id mWorkspace;
    double mWeight = 1.0;
    double mDeficit = 0.0;
    std::size_t mCount = 0;
    std::array<double, kPriorityLevels> mCost{};
    std::array<boost::intrusive::list<queued_request>, kPriorityLevels> mLevels;
  };

  workspace_queue* Find(const workspace_id& aWorkspace);
  const workspace_queue* Find(const workspace_id& aWorkspace) const;
  workspace_queue& FindOrCreate(const admission_request& aRequest, instant aNow);
  double CostAhead(const admission_request& aRequest) const;
  bool HasCapacity(const admission_request& aRequest) const;
  duration TimeUntilCapacity(const admission_request& aRequest) const;
  std::optional<admission_error> Check(const admission_request& aRequest, instant aNow) const;
  static queued_request& Head(workspace_queue& aQueue);
  void Remove(queued_request& aWaiting);

  std::size_t mCapacity;
  admission_ticket mLastTicket;
  double mCost = 0.0;
  double mWeight = 0.0; ///< of all workspaces with waiting requests
  drain_rate mRate;
  std::unordered_map<admission_ticket, queued_request> mWaiting;
  std::unordered_map<workspace_id, workspace_queue> mQueues;
  boost::intrusive::list<workspace_queue> mActiveQueues;
};

} // namespace chervilpulley::policy
