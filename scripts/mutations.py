#!/usr/bin/env python3
"""Mutation tests: disables one mechanism after another and checks that the tests listed for it fail.

Run from the repository with a configured build folder: scripts/mutations.py [BUILD] [--only=WORD,...]. It works on a copy
of the sources in BUILD/mutations, prints a line for each mutation, and exits with 1 when a test still passes. With
--only it runs the mutations whose name contains one of the words. docs/PROMISES.md lists the results."""

import os
import pathlib
import subprocess
import sys

# A test that runs for longer does not end under the mutation, which counts as caught.
MOST_SECONDS = 90

# Name, file, text that is replaced (must occur once), replacement, test program, tests that must fail.
MUTATIONS = [
    # Policies
    ("events_out_of_order_pass", "src/policy/event_cursor.cpp", "*id != *mLast + 1", "false", "unit", "event_cursor_*"),
    ("events_come_twice", "src/policy/event_cursor.cpp", "*id <= *mLast", "false", "unit", "event_cursor_*"),
    ("repeats_without_budget", "src/policy/retry_allowance.cpp", "return mAvailable + kRounding >= 1;", "return true;", "unit", "retry_allowance_*"),
    ("retries_held_without_bound", "src/policy/retry_allowance.cpp", "mTokens = std::min(mTokens, Capacity());\n  mRefilledAt", "mRefilledAt", "unit", "retry_allowance_*,retry_allowances_*"),
    ("share_held_at_once", "src/policy/slack_share.cpp", "&& *mSince + JoinTime(mGateways) <= aNow", "", "unit", "retry_allowances_of_gateways_that_start_*,share_of_*"),
    ("share_not_waited_for_after_a_gap", "src/policy/slack_share.cpp", "if (mSince && ValidUntil() <= aNow) {", "if (false) {", "unit", "retry_allowances_of_gateways_that_start_*,share_of_*"),
    ("share_held_without_reads", "src/policy/slack_share.cpp", "std::min(*mRenewedAt + kRenewalValidity, *mReadAt + ListValidity(mGateways))", "*mRenewedAt + kRenewalValidity", "unit", "share_of_*"),
    ("a_count_of_one_gateway", "src/policy/peer_counter.cpp", "return std::max<std::size_t>(1, static_cast<std::size_t>(count));",
     "return count > 0 ? 1 : 1;", "unit", "peer_counter_*"),
    ("an_engine_twice_in_a_path", "src/policy/path_choice.cpp", "last == aNext || at.mCost == kMax || IsOnPath(aBoundary, last, aNext)", "at.mCost == kMax", "unit", "path_choice_*"),
    ("parts_next_to_the_span_ignored", "src/policy/path_choice.cpp", "mRequest.mDomainAfter ? HopCost(DomainOf(engine), *mRequest.mDomainAfter) : kNoHopCost", "kNoHopCost", "unit", "path_choice_for_a_replaced_stage_*"),
    ("slow_engines_chosen", "src/policy/path_choice.cpp", "engine.mSlowdownFactor > aMaxSlowdownFactor ||", "", "unit", "path_choice_with_a_slow_*"),
    ("first_engine_queue_not_seen", "src/policy/engine_queue.cpp", "return oldest < kMaxStartTime ? duration::zero() : oldest;", "return duration::zero();", "unit", "engine_queue_under_more_load_*"),
    ("first_engine_queue_costs_nothing", "src/policy/path_choice.cpp", "aBest = { wait + lateCost, wait, 0, kNone };", "aBest = { 0, 0, 0, kNone };", "unit", "path_choice_with_a_queue_*"),
    ("first_engine_slots_without_bound", "src/policy/path_choice.cpp", "return aModel.mSlots == 0 ||", "return true ||", "unit", "path_choice_begins_at_no_engine_*"),
    ("first_engine_queue_not_left", "src/gateway/fleet.cpp", "found->second.mQueue.Left(aAt);", "", "unit", "fleet_with_a_request_that_an_engine_does_not_start_*"),
    ("pipe_without_bound", "src/policy/path_choice.cpp", "if (waiting > kMaxInterconnectWait.count())", "if (waiting < 0)", "unit", "path_choice_with_a_full_interconnect_*"),
    ("pipe_of_one_sharer", "src/policy/interconnect_load.cpp", "aTime * std::max(1.0, aSharers)", "aTime", "unit", "interconnect_load_when_all_*"),
    ("keys_trusted_for_ever", "src/policy/key_freshness.h", "kTrustedAgeShare = 0.8", "kTrustedAgeShare = 80", "unit", "key_freshness_*"),
    ("lease_taken_from_its_holder", "src/policy/leader_lease.h", "aNow - mSeenAt >= mLength", "true", "unit", "leader_lease_*"),
    ("layers_without_regard_to_memory", "src/policy/layer_plan.cpp", "aKind.mMemoryMb * aWeightShare", "aKind.mMemoryMb * 2", "unit", "layer_plan_*"),
    ("lapsed_servers_dropped_at_once", "src/policy/member_table.cpp", "aReturnedAt ? std::max(aNow, *aReturnedAt + mRelistTime) : aNow", "aNow", "unit", "member_table_*"),
    ("everybody_waits_for_room", "src/policy/capacity_wait.cpp", "return waited + WaitForecast(aQueue) <= maxWait;", "return true;", "unit", "capacity_wait_in_lasting_*"),
    ("nobody_waits_for_room", "src/policy/capacity_wait.cpp", "return waited + WaitForecast(aQueue) <= maxWait;", "return false;", "unit", "capacity_wait_in_a_burst_*"),
    ("late_ones_go_first", "src/policy/capacity_wait.cpp", "left != right ? left :", "left != right ? right :", "unit", "capacity_wait_*"),
    ("crashes_not_counted", "src/policy/crash_record.cpp", "known.mServers.emplace(aRun.mServer, counts);", "", "unit", "crash_record_*"),
    ("crashes_not_cleared", "src/policy/crash_record.cpp", "      mRecords.erase(found);\n", "", "unit", "crash_record_*"),
    ("a_rack_counts_as_many_crashes", "src/policy/crash_record.cpp", "|| apart >= kSameEventTime", "|| true", "unit", "crash_record_of_a_rack_*"),
    ("popular_parts_without_rivals", "src/policy/crash_record.cpp", "return shared > 0 &&", "return false &&", "unit", "crash_record*"),
    ("blocks_explain_nothing", "src/policy/crash_record.cpp", "return servers.contains(aServer.first);", "return false;", "unit", "crash_record*"),
    ("blocks_adopted_against_output", "src/policy/crash_record.cpp", "output && *output > aBlock.mSince", "false", "unit", "crash_record*"),
    ("blocked_parts_tried_by_all", "src/policy/crash_record.cpp", "found->second.mLastTrialAt = aNow;", "", "unit", "crash_record_after_a_block_*"),
    ("leaving_not_read", "platform/request_headers.cpp", "response.mIsLeaving = aHeaders.Get(kLeaving) == \"1\";", "", "unit", "platform_response_says_*"),
    ("leaving_forgotten_with_the_entry", "src/gateway/fleet_notices.cpp", "    state.mNotices = departed->second.mNotices;\n", "", "unit", "fleet_with_*"),
    ("leaving_for_ever", "src/gateway/fleet_notices.cpp", "aMember.mStartedAt <= known->second.mStartedAt", "true", "unit", "fleet_with_an_engine_that_left_*"),
    ("leaving_servers_get_work", "src/gateway/fleet.h", "return !aState.mNotices.mLeavingSince &&", "return", "unit", "fleet_with_*"),
    ("blocked_beginnings_run", "src/entry/completion_run.cpp", "  if (!blockedFor) {", "  if (true) {", "processes", "requests_whose_prompts_share_*"),
    ("blocks_not_asked_for", "src/gateway/peer_hints.cpp", "    if (isNew || index == mNextAsked) {", "    if (false) {", "contract", "peer_hints_of_a_gateway_that_knows_*"),
    ("heads_not_observed", "src/gateway/backend_call.cpp", "  mCalls->Observe(mOptions.mTo.mServer, metadata, mIsUnrelated || !mIsResponseCertain ? instant() : mSentAt);\n", "", "contract", "backend_call_reports_*"),
    ("refused_together_return_together", "src/policy/retry_after.cpp", "kJitter = 0.25", "kJitter = 0.0", "unit", "retry_after_*"),
    # Overload control, announcements, limits on callers
    ("ranks_without_order", "src/policy/capacity_allocation.cpp", "const double more = std::min(aWanted[rank] - starts[rank], std::max(0.0, left));", "const double more = 0;", "unit", "capacity_allocation_*"),
    ("lower_ranks_starve", "src/policy/capacity_allocation.h", "kMinAdmittedShare = 0.4", "kMinAdmittedShare = 0", "unit", "capacity_allocation_*"),
    ("late_requests_before_others", "src/policy/request_rank.h", "(aCanBeOnTime ? 0 : 3)", "(aCanBeOnTime ? 3 : 0)", "unit", "request_rank_*,capacity_*,overload_*"),
    ("route_before_workspace", "src/policy/priority_levels.h", "return { aWorkspace.value_or(aRoute), aRoute };", "return { aRoute, aWorkspace.value_or(aRoute) };", "unit", "priority_levels_*"),
    ("all_streams_admitted", "src/gateway/overload_control.cpp", "return fraction >= kFullyAdmitted ||", "return true ||", "unit", "overload_control_*"),
    ("quota_not_kept", "src/gateway/overload_control.cpp", "return inUse + aTokens * kFittingPart <= mState.mQuota;", "return true;", "unit", "overload_control_*"),
    ("bursts_claim_all", "src/gateway/overload_control.cpp", "  if (!mAllocation.mIsScarce) {\n    return aStarts;", "  if (true) {\n    return aStarts;", "unit", "overload_control_of_25_*"),
    ("unheard_gateways_use_nothing", "src/gateway/overload_control.cpp", "loads.resize(aLoad.mGateways, AverageOf(loads));", "", "unit", "overload_control_*"),
    ("retries_count_as_new", "src/gateway/overload_control.cpp", "kRetryPatienceShare = 0.8", "kRetryPatienceShare = 0", "unit", "overload_control_*"),
    ("retry_after_without_bound", "src/gateway/overload_control.cpp", "std::min(lasting, longest)", "lasting", "unit", "overload_control_*"),
    ("overload_control_everywhere", "src/gateway/configuration.cpp", "ofRoutes[name].size() > 1", "true", "unit", "fleet_with_a_pool_without_*"),
    ("others_use_not_seen", "src/gateway/fleet_overload.cpp", "    engine.mReservedTokenLayers += tokenLayers;\n", "", "unit", "fleet_*"),
    ("quota_not_asked_for", "src/gateway/stream_request_overload.cpp", "return overload == nullptr || !overload->State().mIsScarce ||", "return true ||", "contract", "stream_*"),
    ("rank_not_asked_for", "src/gateway/stream_request_overload.cpp", "return overload->Admits(demand, aNow);\n}\n\n/// Whether the first", "return true;\n}\n\n/// Whether the first", "contract", "stream_in_a_shortage_*"),
    ("announcements_never_expire", "src/gateway/load_announcements.h", "kAnnouncementTime = std::chrono::seconds(2)", "kAnnouncementTime = std::chrono::hours(2)", "unit", "load_announcement*,overload_control_of_a_lost_*"),
    ("announcements_of_strangers", "src/gateway/load_announcements.cpp", "  if (!mPeers.contains(aFrom)) {\n    return;\n  }\n", "", "unit", "load_announcement*"),
    ("one_workspace_takes_all", "src/policy/workspace_fairness.cpp", "return tokens > aSplit.mCap ? aSplit.mCap / tokens : 1.0;", "return 1.0;", "unit", "workspace_*"),
    ("memory_of_callers_without_bound", "src/gateway/request_memory.cpp", "while (mHeld > mBudget && FreeLargest()) {", "while (false && FreeLargest()) {", "processes", "gateway_whose_callers_hold_back_*"),
    ("large_requests_without_bound", "src/gateway/request_memory.cpp", "if (isLarge && mLargeRunning >", "if (false && mLargeRunning >", "unit", "request_memory_with_many_large_*"),
    ("trailers_without_bound", "src/gateway/caller_session_read.cpp", "  mParser->TrailerLimit(limits.mMaxHeaderBytes);\n", "", "contract", "caller_whose_trailers_*"),
    ("connections_without_bound", "src/gateway/caller_listener.cpp", "if (mOpenSockets < limit) {", "if (true) {", "processes", "gateway_with_more_idle_*"),
    ("machine_limits_not_read", "src/base/machine_limits.cpp", "if (aInFile > 0 || text.empty()) {", "if (true) {", "unit", "machine_limits_*"),
    # Backend state and connections
    ("moving_engines_chosen", "src/gateway/fleet.cpp", "!IsMoving(aId, aNow) &&", "", "unit", "fleet_with_an_engine_that_releases_*"),
    ("slow_ones_not_asked_again", "src/gateway/fleet.cpp", "state.mSlowdownFactor >= kSlowFactor && aNow", "false && aNow", "unit", "fleet_with_slow_*"),
    ("idle_connections_stay", "src/gateway/connection_pool.h", "if (aNow < mNextSweep)", "if (true)", "unit", "connection_pool_with_expired_connections_*"),
    ("stopping_instances_begin_everything", "src/policy/stop_schedule.h", "return !mStop || aNow + aExpected <= *mStop;", "return true;", "processes", "gateway_terminated_before_*"),
    ("connections_closed_at_once", "src/gateway/caller_session.cpp", "  const ref<session_impl> self(this);\n  mPhase = session_phase::Lingering;", "  Close();\n  return;\n  const ref<session_impl> self(this);\n  mPhase = session_phase::Lingering;", "processes", "response_that_waits_for_a_slow_caller_*"),
    ("open_connections_not_waited_for", "src/gateway/caller_session_p.h", "return mSessions.size(); }", "return 0; }", "processes", "gateways_terminated_in*"),
    ("accepted_connections_dropped", "src/gateway/caller_listener.cpp", "    if (!aError) {\n      // Accepted", "    if (!aError && self->mAcceptor.is_open()) {\n      // Accepted", "processes", "request_that_arrives_as_its_gateway_*"),
    ("requests_cut_without_a_response", "src/gateway/gateway.cpp", "const std::size_t cut = EndRequests(Now());", "const std::size_t cut = 0;", "processes", "booking_that_runs_when_*"),
    ("any_429_did_not_run", "platform/request_headers.cpp", "aHeaders.Has(kNotRun) || aStatus == 421", "aHeaders.Has(kNotRun) || aStatus == 421 || aStatus == 429", "unit", "platform_response_did_not_run_*"),
    # Messages between gateways
    ("relay_changes_out_of_reach_dropped", "src/gateway/store_cache.cpp", "if (aReader.mMembers >= mBatchesBegin && aReader.mMembers.mNumber > 0)", "if (true)", "unit", "store_cache_*"),
    ("relay_lost_list_not_told", "src/gateway/store_cache.cpp", "updates.mListIsLost = mListIsLost;", "", "unit", "store_cache_*"),
    ("relay_word_taken_for_fresh", "src/gateway/store_sync_relays.cpp", "aRequestedAt + aResponse.mWaited - *updates.mConfirmedAge", "BootNow()", "contract", "store_sync_*"),
    ("relay_changes_not_pushed", "src/gateway/store_relay.cpp", "mCache->OnUpdates([self = ref<store_relay>(this)] { self->RespondToReaders(); });", "", "contract", "store_relay_*"),
    ("relay_failure_not_left", "src/policy/source_choice.cpp", "if (prefersStore || hasRecentRelayFailure)", "if (prefersStore)", "unit", "source_choice_*"),
    ("relay_read_by_all", "src/policy/source_choice.cpp", "const bool prefersStore = mReadsStore && !aStoreFails;", "const bool prefersStore = true;", "unit", "source_choice_*"),
    ("third_holders_on_one_layer", "src/policy/layer_plan.cpp", "      case 2:\n        return kValueOfThirdHolder;\n      case 3:\n        return kValueOfFourthHolder;\n", "", "unit", "layer_plan_*"),
    ("interim_answers_without_bound", "src/gateway/backend_call.cpp", "++mInterimResponses > kMaxInterimResponses", "false", "contract", "backend_call_with_endless_*"),
    ("chunk_lines_without_bound", "src/gateway/backend_call.cpp", "bytes.size() > kMaxUnparsedBytes", "false", "contract", "backend_call_with_endless_*"),
    # Processes
    ("answers_not_ended", "src/gateway/stream_request.cpp", "mRequest.mSession->Finish();", "mRequest.mSession->Abort();", "processes", "gateway_stream_through_*"),
    ("workspace_not_named", "src/gateway/request_context.cpp", "aDispatch.mWorkspace = aAdmitted.mWorkspace;", "", "processes", "gateway_request_reaches_*"),
    ("bookings_repeated", "src/gateway/service_request.h", "mRequest.mRoute->mKind == request_kind::Idempotent", "true", "processes", "gateway_booking_whose_response_*"),
    ("refusals_without_time", "src/gateway/service_request.cpp", "OwnResponse(503, aRetryAfter.value_or(RetryAfter(aNow)))", "OwnResponse(503, std::nullopt)", "processes", "gateway_booking_refused_*"),
    ("lookups_not_repeated", "src/gateway/service_request.cpp", "return !mEnvironment.mCrashes->IsSuspect(mRequest, aNow) && IsIdempotent()", "return false", "processes", "gateway_lookup_that_fails_at_one_*"),
    ("lookups_without_bound", "src/gateway/service_request.cpp", "mRuns < mRequest.mRoute->mMaxAttempts", "mRuns < 9", "processes", "gateway_lookup_that_fails_everywhere_*"),
    ("keys_not_asked_for", "src/gateway/configuration.cpp", "if (!route->mNeedsKey ||", "if (true ||", "processes", "gateway_request_without_route_*"),
    ("bodies_without_limit", "src/gateway/caller_session_read.cpp", "mParser->body_limit(limits.mMaxBodyBytes);", "mParser->body_limit(1U << 30U);", "processes", "gateway_request_over_*"),
    ("no_new_path", "src/gateway/stream_request_repair.cpp", "  Repath({ aEngine, repath_reason::Lost }, aNow);", "", "processes", "gateway_stream_whose_later_*"),
    ("lost_first_engine_waited_for", "src/gateway/stream_request_repair.cpp", "    HandleFailure(\"first engine is lost\", aNow);\n", "", "processes", "gateway_stream_whose_first_*"),
    ("torn_event_kept", "src/policy/event_cursor.cpp", "  mPartial.clear();\n", "", "processes", "gateway_stream_that_breaks_*"),
    ("new_path_keeps_those_that_leave", "src/gateway/stream_request_path.cpp", "!mEnvironment.mFleet->LeavingSince(aEngine) && !mExcluded.contains(aEngine)", "true", "processes", "gateway_stream_that_loses_one_*"),
    ("refused_new_path_not_tried_again", "src/gateway/stream_request_path.cpp", "if (refused && aCause.mTries + 1 < kMaxRepathTries", "if (false && aCause.mTries + 1 < kMaxRepathTries", "processes", "gateway_stream_whose_new_path_*"),
    ("new_paths_through_a_first_engine_that_refuses", "src/gateway/stream_request_path.cpp", " && CanJoinNewPath(mPath->mStages.front().mEngine, now)) {", ") {", "processes", "gateway_stream_whose_first_engine_leaves_*"),
    ("slow_engines_not_told", "src/gateway/peer_hints.cpp", "    Broadcast({ { kSlowField, aEngine.Str() } });\n", "", "processes", "gateways_notify_each_other_of_a_slow_*"),
    ("streams_stay_with_leaving_engines", "src/gateway/stream_request_path.cpp", "if (leaves ||", "if (false ||", "processes", "gateway_stream_with_an_engine_that_leaves_*"),
    ("work_goes_on_without_its_caller", "src/gateway/caller_session.cpp", "if (const ref<request_handler> handler = std::exchange(mHandler, nullptr)) {", "if (const ref<request_handler> handler; handler) {", "processes", "gateway_caller_that_leaves_*"),
    ("first_configuration_stays", "src/gateway/store_sync.cpp", "!current || decoded->mVersion > current->mVersion", "!current", "processes", "gateway_key_revoked_*"),
    ("older_configuration_taken", "src/gateway/store_sync.cpp", "if (current && decoded->mVersion < current->mVersion)", "if (false)", "processes", "gateway_that_reads_*"),
    ("silent_store_trusted", "src/policy/key_freshness.h", "kTrustedAgeShare = 0.8", "kTrustedAgeShare = 80", "processes", "gateway_without_the_store_*"),
    ("lost_history_not_noticed", "src/gateway/store_sync.cpp", "    // A compacted history is not an outage: the listed servers stay valid.\n", "    co_return true;\n", "processes", "gateway_follows_*"),
    ("streams_cut_at_the_end", "src/gateway/gateway.cpp", "} while (mCallers->Open() > 0 && Now() < lastResponses());", "} while (false);", "processes", "gateway_terminated_*"),
    ("duty_never_taken_over", "src/policy/leader_lease.h", "aNow - mSeenAt >= mLength", "false", "processes", "gateways_give_each_engine_*"),
    ("rivals_lease_not_seen", "src/policy/leader_lease.h", "if (mSeenRevision != aRevision) {", "if (!mSeenRevision) {", "unit", "leader_lease_*"),
    ("callers_taken_too_soon", "src/gateway/gateway.cpp", "while (!(mSync->IsComplete()", "while (false && !(mSync->IsComplete()", "processes", "gateway_that_has_just_*"),
    ("crashes_not_told", "src/gateway/crash_watch.cpp", "    mHints->NotifyCrash(run, aNow);\n", "", "processes", "gateways_notify_each_other_*"),
    ("bookings_repeated_in_the_soak", "src/gateway/service_request.h", "mRequest.mRoute->mKind == request_kind::Idempotent", "true", "processes", "gateways_under_random_*"),
    # What is believed of the store
    ("stale_relays_left_by_keys_alone", "src/policy/store_schedule.h", "duration(aBounds.mConfiguration - mReadTimeout - kInitialRetryBackoff - kSlowStoreRead)", "aBounds.mKeys", "unit", "store_schedule_*"),
    ("stale_relays_waited_for", "src/gateway/store_sync_relays.cpp", "const duration timeout = mIsFollowing ? std::max(rest, kMinRelaySlack) : wait + kRelaySlack;", "const duration timeout = std::chrono::seconds(5);", "contract", "store_sync_with_a_relay_that_stops_*"),
    ("confirmations_not_told", "src/gateway/store_cache.cpp", "  if (isLater) {", "  if (false) {", "contract", "store_relay_tells_*"),
    ("witnesses_not_believed", "src/policy/store_availability.cpp", "const instant since = aNow - aServedFor;", "const instant since = aNow;", "unit", "store_availability_*"),
    ("witnesses_not_asked", "src/gateway/store_sync.cpp", "      Spawn(mContext, AskWitness(witness));\n", "", "contract", "store_sync_after_a_partition_*"),
    ("witnesses_of_an_earlier_era_believed", "src/gateway/store_sync.cpp", "if (!response || !response->mUpdates.mStoreServedFor ||\n      response->mUpdates.mMembersRevision.mEra != mStoreClient->Era()) {", "if (!response || !response->mUpdates.mStoreServedFor) {", "contract", "store_sync_after_a_restore_*"),
    ("held_removals_without_timer", "src/gateway/store_sync.cpp", "      self->mFleet->Members().TimePassed(Now());\n", "", "contract", "store_sync_drops_*"),
    ("second_outage_prolongs_removals", "src/policy/member_table.cpp", "std::min(removal.mUntil, aReturnedAt ? *aReturnedAt + mRelistTime : aNow)", "aReturnedAt ? *aReturnedAt + mRelistTime : aNow", "unit", "member_table_*"),
    ("unlisted_servers_chosen_like_others", "src/policy/service_choice.cpp", "candidate.mIsListed != isBestListed ? candidate.mIsListed : work < leastWork", "work < leastWork", "unit", "fleet_with_servers_whose_entry_*"),
    ("relays_forgotten_without_the_store", "src/gateway/gateway_registry.cpp", "  std::map<instance_id, net::endpoint> relayAddresses;\n", "  std::map<instance_id, net::endpoint> relayAddresses;\n  mRelayAddresses.clear();\n", "contract", "store_sync_of_a_gateway_*"),
    ("instances_never_expire", "src/policy/peer_counter.cpp", "return !mListReadAt || aPeer.mRenewedAt + mTimeToLive >= *mListReadAt;", "return true;", "unit", "peer_counter_*"),
    ("permits_valid_from_their_arrival", "src/policy/permits.cpp", "aAskedAt + kPermitTime", "aNow + kPermitTime", "unit", "permits_whose_*"),
    ("permits_valid_from_the_repeated_ask", "src/gateway/server_limits.cpp", "state.mPending->mAskedAt;", "state.mPending->mSentAt;", "unit", "permits_granted_*"),
    # Entries, sidecars and the parts that they share
    ("relays_with_old_lists_preferred", "src/config/peer_sync.cpp", "return std::chrono::milliseconds(aDifference.mAgeMs) > maxAge;", "return maxAge < duration::zero();", "contract", "config_store_change_reaches_the_readers_*"),
    ("lists_aged_from_their_arrival", "src/config/peer_sync.cpp", "const instant readAt = aRequestedAt - std::chrono::milliseconds(aDifference.mAgeMs);", "const instant readAt = Now();", "contract", "config_store_list_of_a_reader_*"),
    ("older_attempts_run", "src/policy/stage_progress.cpp", "if (aAttempt != mCurrent)", "if (false)", "unit", "stage_progress_*"),
    ("known_positions_run_again", "src/policy/stage_progress.cpp", "if (kept->second.mDigest == aDigest)", "if (false)", "unit", "stage_progress_*"),
    ("lost_sidecars_did_not_run_it", "src/entry/service_run.cpp", "during a call.\", name);\n  mMayHaveRun = true;\n", "during a call.\", name);\n", "contract", "service_run_faults_*"),
    ("event_ids_not_signed", "src/entry/event_id.cpp", "if (!EqualConstantTime(Sign(signedText, aKey), fields.back()))", "if (false)", "unit", "event_id_*"),
    ("leaving_sidecars_take_calls", "src/sidecar/service_calls.cpp", "if (mLeaving) {", "if (false) {", "contract", "service_calls_of_a_sidecar_*"),
    ("sidecars_end_with_work", "src/sidecar/sidecar_server.cpp", "InProgress() == 0 ? mIdleTicks + 1 : 0", "mIdleTicks + 1", "processes", "sidecar_terminated_*"),
    ("lost_writes_not_looked_for", "src/policy/config_writer.cpp", "if (auto revision = aLog.AcceptedAt(change_id(mChange.change_id())))", "if (std::optional<revision_number> revision; revision)", "contract", "config_store_write_with_fault_*"),
    ("suspects_never_refused", "src/policy/crash_suspects.cpp", "if (level == suspicion::Refused) {", "if (false) {", "unit", "crash_suspects_*"),
    ("retries_without_end", "src/policy/retry_budget.cpp", "if (mBalance < 1.0)", "if (false)", "unit", "retry_budget_*"),
    ("bodies_without_limit_at_entries", "src/net/http_server.cpp", "parser.body_limit(mServer->Limits().mMaxBodyBytes);", "parser.body_limit(1U << 30U);", "contract", "http_server_body_*"),
    ("waiting_callers_reset", "src/net/http_server.cpp", "    self->AcceptPending();\n", "", "contract", "http_server_stopping_*"),
    ("links_not_waited_for", "src/link/provider_links.cpp", "return mWanted && !mListedLeaving &&", "return false && !mListedLeaving &&", "contract", "service_run_waits_*"),
    ("lost_stages_end_the_answer", "src/entry/completion_run.cpp", "  return Retry(aLost.stalled() ? metrics::retry_cause::Stalled : metrics::retry_cause::StageLost);", "  return Fail({ 503, \"lost\", \"lost\", link::OUTCOME_FAILED, std::nullopt });", "processes", "stage_killed_mid_stream_*"),
    ("callers_leave_and_engines_work_on", "src/entry/completion_run.cpp", "  SendToHead(std::move(cancel));\n}\n\nvoid completion_run::CancelFormerHeads", "}\n\nvoid completion_run::CancelFormerHeads", "processes", "caller_hangs_up_*"),
    ("forged_ids_take_streams_up", "src/entry/event_id.cpp", "if (!EqualConstantTime(Sign(signedText, aKey), fields.back()))", "if (false)", "processes", "stream_resumed_with_a_forged_id_*"),
    ("handed_over_calls_did_not_run", "src/engine/service_client.cpp", "aError.mMaybeSent ? service_errc::MaybeRun : service_errc::NotSent", "service_errc::NotSent", "contract", "service_client_*"),
    ("crashed_services_did_not_run_it", "src/engine/service_client.cpp", "aError.mMaybeSent ? service_errc::MaybeRun : service_errc::NotSent", "service_errc::NotSent", "processes", "booking_whose_service_crashes_*"),
    ("claims_are_not_joined", "src/sidecar/booking_runner.h", "if (decision.mStatus == policy::claim_status::Won) {", "if (true) {", "contract", "booking_runner_*"),
    ("claims_of_others_are_ignored", "src/sidecar/booking_runner.h", "if (decision.mStatus == policy::claim_status::Won) {", "if (true) {", "processes", "booking_sent_to_two_entries_*,booking_whose_sidecar_is_killed_*"),
    ("leaving_stages_take_streams", "src/sidecar/stage_stream.cpp", "if (!mHasSlot && mHost.IsLeaving()) {", "if (false) {", "contract", "stage_stream_at_a_sidecar_*"),
    ("entries_end_with_streams", "src/entry/entry_server.cpp", "if (open == 0) {", "if (true) {", "processes", "entry_terminated_with_*"),
    ("entries_that_leave_are_ready", "src/entry/entry_server.cpp", "  mLeavingSince = Now();\n  mCore.Health().mLeaving = true;", "  mLeavingSince = Now();", "processes", "entry_terminated_fails_*"),
    ("gaps_in_the_log_taken", "src/policy/config_log.cpp", "if (revision != mRevision.Next()) {", "if (false) {", "unit", "config_log_*"),
    ("older_entries_taken", "src/policy/config_log.cpp", "if (aEntry.revision() <= mRevision.Value()) {", "if (false) {", "unit", "config_log_*"),
    ("links_with_any_key", "src/link/link.cpp", "EqualConstantTime(std::string_view(key.data(), key.size()), aOptions.mClusterKey)", "true", "contract", "link_with_wrong_key_*"),
    ("control_calls_with_any_key", "src/config/peer_server.cpp", "if (!EqualConstantTime(request.mHeaders.Get(kClusterKeyHeader), key)) {", "if (false) {", "contract", "peer_server_caller_with_wrong_key_*"),
    ("leaving_engines_eligible", "src/policy/route_choice.cpp", "aCandidate.mLeaving || aCandidate.mAvoid || !aCandidate.mBackendUp", "false", "unit", "route_choice_*"),
    ("one_workspace_takes_the_queue", "src/policy/admission_queue.cpp", "return free > 0 && (queue == nullptr || queue->mCount < free);", "return free > 0;", "unit", "admission_queue_*"),
    ("suspects_run_on_all_engines", "src/entry/request_guard.cpp", "    case policy::suspicion::Refused:\n      return guard_verdict::Refused;", "    case policy::suspicion::Refused:\n      return guard_verdict::RunAsSuspect;", "processes", "crashing_request_crashes_*"),
    ("waiting_connections_do_not_count", "src/net/http_server.cpp", "const std::size_t accepting = mStopping ? mAccepting.load() : 0;", "const std::size_t accepting = 0;", "contract", "http_server_stopping_*"),
    ("requests_on_idle_connections_reset", "src/net/http_server.cpp", "const bool hasBegun = self->mIsReading || self->HasUnreadBytes();", "const bool hasBegun = false;", "processes", "request_whose_body_arrives_while_*"),
    ("silent_callers_hold_up_the_end", "src/net/http_server.cpp", "  if (mServer->IsStopping()) {\n    CloseUnlessRequestArrives();\n  }\n", "", "contract", "http_server_stopping_*"),
    ("removals_take_any_revision", "platform/store_objects.cpp", "{}?revision={}", "{}?any={}", "unit", "platform_removal_*"),
    ("fence_of_an_earlier_holding_kept", "src/policy/leader_lease.h", "if (!aAttempt.mIsRenewal || !mFence) {", "if (!mFence) {", "unit", "leader_lease_in_*"),
    ("conflicts_of_the_lease_not_noticed", "src/policy/leader_lease.h", "      Lost();\n    }\n    if (aPresent) {", "    }\n    if (aPresent) {", "unit", "leader_lease_in_*"),
    ("urgent_requests_wait_like_others", "src/policy/capacity_wait.cpp", "(kPriorityStep * steps)", "(0 * steps)", "unit", "capacity_wait_*"),
    ("queue_not_in_the_time_to_come_back", "src/policy/retry_after.cpp", "std::max(kMinRetryAfter, aShortage.mQueueWait)", "kMinRetryAfter", "unit", "retry_after_*"),
    ("run_time_not_initialised", "src/policy/capacity_wait.h", "duration mAverage{ 0 };", "duration mAverage;", "unit", "run_time_average_*"),
    ("priority_of_the_workspace_unused", "platform/configuration_objects.cpp", "Priority(workspace) });", "std::nullopt });", "unit", "platform_configuration_*"),
    ("servers_off_the_list_are_dead", "src/gateway/fleet.cpp", "return departed != mDeparted.end() && departed->second.mStartedAt", "return false && departed->second.mStartedAt", "unit", "fleet_*"),
    ("new_paths_make_entries_of_the_departed", "src/gateway/fleet.cpp", "    const auto found = mStates.find(stage.mEngine);\n    if (found != mStates.end()) {\n      found->second.mReserved +=", "    mStates[stage.mEngine];\n    const auto found = mStates.find(stage.mEngine);\n    if (found != mStates.end()) {\n      found->second.mReserved +=", "unit", "fleet_*"),
    ("gaps_wait_for_streams", "src/policy/layer_plan.cpp", "mOrders.push_back({ aEngine.mId, aRange, interruptsStreams });", "mOrders.push_back({ aEngine.mId, aRange, false });", "unit", "layer_plan_*"),
    ("engines_that_cut_off_held_for_lost", "src/gateway/fleet.cpp", " || member->mLayers.IsEmpty();", ";", "unit", "fleet_*"),
    ("clerks_read_everything", "src/admin/principal.cpp", "aCaller.mRole == ROLE_CLERK && IsOwnRoute(aCaller, aRef)", "aCaller.mRole == ROLE_CLERK", "unit", "check_read_*"),
]


def run(words, folder, **options):
    return subprocess.run(words, cwd=folder, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False, **options)


def try_tests(words, folder, environment):
    try:
        test_result = run(words, folder, env=environment, timeout=MOST_SECONDS)
    except subprocess.TimeoutExpired:
        return "caught, by not ending"
    if "No test cases matched" in test_result.stdout:
        return "no such test"
    return "caught" if test_result.returncode != 0 else "SURVIVED"


def copy_sources(root, copy):
    """Copies the tracked and the new files. Files that have not changed are not written, so that little is rebuilt."""
    listed = run(["git", "ls-files", "--cached", "--others", "--exclude-standard"], root).stdout.splitlines()
    for name in listed:
        source = root / name
        if name.startswith("journal/") or not source.is_file():
            continue
        target = copy / name
        content = source.read_bytes()
        if not target.is_file() or target.read_bytes() != content:
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(content)
            target.chmod(source.stat().st_mode)


def main():
    words = [word for word in sys.argv[1:] if not word.startswith("--")]
    only = next((word[len("--only="):] for word in sys.argv[1:] if word.startswith("--only=")), "").split(",")
    root = pathlib.Path(__file__).resolve().parent.parent
    copy = pathlib.Path(words[0] if words else "build").resolve() / "mutations"
    build = copy / "build"
    copy.mkdir(parents=True, exist_ok=True)
    copy_sources(root, copy)
    configure_result = run(["cmake", "-S", str(copy), "-B", str(build), "-G", "Ninja"], copy)
    if configure_result.returncode != 0:
        print(configure_result.stdout)
        return 1
    environment = dict(os.environ, CHERVILPULLEY_BINARY=str(build / "chervilpulley"),
                       CHERVILPULLEY_STANDIN=str(build / "standin"), CHERVILPULLEY_SOURCE=str(copy),
                       RC_PARAMS="seed=20261204")
    survived = 0
    for name, file, old, new, program, tests in MUTATIONS:
        if not any(word in name for word in only):
            continue
        path = copy / file
        source = path.read_text()
        if source.count(old) != 1:
            print(f"{name}: {file} holds the text {source.count(old)} times", flush=True)
            survived += 1
            continue
        path.write_text(source.replace(old, new))
        targets = [f"test_{program}"] + (["chervilpulley", "standin"] if program == "processes" else [])
        build_result = run(["cmake", "--build", str(build), "-j", "4", "--target", *targets], copy)
        outcome = "does not build"
        if build_result.returncode == 0:
            outcome = try_tests([str(build / f"test_{program}"), tests], copy, environment)
        survived += not outcome.startswith("caught")
        print(f"{name}: {outcome} ({program} {tests})", flush=True)
        path.write_text(source)
    return 1 if survived else 0


if __name__ == "__main__":
    sys.exit(main())
