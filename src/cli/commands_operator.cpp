#include "cli/commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <ostream>

#include "cli/object_text.h"
#include "cli/operator_session.h"

namespace {

constexpr std::int64_t kFromNewest = -1;

} // namespace

DEFINE_string(operator_workspace, "", "Only objects of this workspace.");
DEFINE_uint64(audit_after, 0, "Revision after which to start.");
DEFINE_int64(watch_after, kFromNewest, "Revision after which to start; -1 is the newest.");
DEFINE_uint32(operator_count, 0, "Number of entries after which to end; 0 is no limit.");
DEFINE_uint64(operator_revision, 0, "Revision to look for; 0 is the newest.");
DEFINE_bool(operator_undo, false, "Take new work again.");

namespace chervilpulley::cli {

namespace {

using words = std::vector<std::string>;

constexpr std::uint32_t kPageSize = 200;

int GetOne(admin_client& aClient, admin::object_kind aKind, const std::string& aName, streams aStreams)
{
  admin::get_request request;
  request.mutable_ref()->set_kind(aKind);
  request.mutable_ref()->set_name(aName);
  const auto reply = aClient.Get(request);
  if (!reply) {
    return Fail("get", reply.error(), aStreams);
  }
  const admin::object& object = reply.value().object();
  aStreams.mOut << (IsJson() ? JsonOf(object, true) : ObjectTable({ object }));
  return ExitOk;
}

client_result<std::vector<admin::object>> ListAll(admin_client& aClient, admin::object_kind aKind)
{
  std::vector<admin::object> objects;
  admin::list_request request;
  request.set_kind(aKind);
  request.set_workspace(FLAGS_operator_workspace);
  request.set_page_size(kPageSize);
  do {
    const auto reply = aClient.List(request);
    if (!reply) {
      return reply.error();
    }
    objects.insert(objects.end(), reply.value().objects().begin(), reply.value().objects().end());
    request.set_page_token(reply.value().next_page_token());
  } while (!request.page_token().empty());
  return objects;
}

int GetAll(admin_client& aClient, admin::object_kind aKind, streams aStreams)
{
  const auto listed = ListAll(aClient, aKind);
  if (!listed) {
    return Fail("get", listed.error(), aStreams);
  }
  if (!IsJson()) {
    aStreams.mOut << ObjectTable(listed.value());
    return ExitOk;
  }
  admin::list_reply all;
  for (const admin::object& object : listed.value()) {
    *all.add_objects() = object;
  }
  aStreams.mOut << JsonOf(all, true);
  return ExitOk;
}

int Get(const words& aArguments, streams aStreams)
{
  const auto kind = ReadKind("get", aArguments[0], aStreams);
  if (!kind || !CheckOutput("get", aStreams)) {
    return ExitUsage;
  }
  const auto client = Connect("get", aStreams);
  if (!client) {
    return ExitUsage;
  }
  return aArguments.size() > 1 ? GetOne(*client, *kind, aArguments[1], aStreams) : GetAll(*client, *kind, aStreams);
}

/// Prints entries of the change log up to the limit set by --count.
class entry_printer
{
public:
  explicit entry_printer(streams aStreams)
    : mStreams(aStreams)
  {
  }

  /// Prints an entry; returns whether more are to be printed.
  bool Print(const admin::log_entry& aEntry)
  {
    mStreams.mOut << (IsJson() ? JsonOf(aEntry, false) : EntryText(aEntry)) << std::flush;
    ++mCount;
    return FLAGS_operator_count == 0 || mCount < FLAGS_operator_count;
  }

private:
  streams mStreams;
  std::uint32_t mCount = 0;
};

/// The revision after which a watch starts: that of the flag, or the newest.
client_result<std::uint64_t> WatchStart(admin_client& aClient)
{
  if (FLAGS_watch_after >= 0) {
    return static_cast<std::uint64_t>(FLAGS_watch_after);
  }
  admin::audit_request request;
  request.set_page_size(1);
  const auto reply = aClient.Audit(request);
  if (!reply) {
    return reply.error();
  }
  return reply.value().head_revision();
}

int Watch(const words&, streams aStreams)
{
  if (!CheckOutput("watch", aStreams)) {
    return ExitUsage;
  }
  const auto client = Connect("watch", aStreams);
  if (!client) {
    return ExitUsage;
  }
  const auto after = WatchStart(*client);
  if (!after) {
    return Fail("watch", after.error(), aStreams);
  }
  admin::watch_request request;
  request.set_after_revision(after.value());
  entry_printer printer(aStreams);
  const auto ended = client->Watch(request, [&](const admin::log_entry& aEntry) { return printer.Print(aEntry); });
  return ended ? ExitOk : Fail("watch", ended.error(), aStreams);
}

int Audit(const words&, streams aStreams)
{
  if (!CheckOutput("audit", aStreams)) {
    return ExitUsage;
  }
  const auto client = Connect("audit", aStreams);
  if (!client) {
    return ExitUsage;
  }
  entry_printer printer(aStreams);
  admin::audit_request request;
  request.set_after_revision(FLAGS_audit_after);
  request.set_page_size(kPageSize);
  while (true) {
    const auto reply = client->Audit(request);
    if (!reply) {
      return Fail("audit", reply.error(), aStreams);
    }
    for (const admin::log_entry& entry : reply.value().entries()) {
      request.set_after_revision(entry.revision());
      if (!printer.Print(entry)) {
        return ExitOk;
      }
    }
    if (reply.value().entries().empty() || request.after_revision() >= reply.value().head_revision()) {
      return ExitOk;
    }
  }
}

int Status(const words&, streams aStreams)
{
  if (!CheckOutput("status", aStreams)) {
    return ExitUsage;
  }
  const auto client = Connect("status", aStreams);
  if (!client) {
    return ExitUsage;
  }
  const auto reply = client->Status();
  if (!reply) {
    return Fail("status", reply.error(), aStreams);
  }
  aStreams.mOut << (IsJson() ? JsonOf(reply.value(), true) : StatusText(reply.value()));
  return ExitOk;
}

int Rollout(const words&, streams aStreams)
{
  if (!CheckOutput("rollout", aStreams)) {
    return ExitUsage;
  }
  const auto client = Connect("rollout", aStreams);
  if (!client) {
    return ExitUsage;
  }
  admin::rollout_request request;
  request.set_revision(FLAGS_operator_revision);
  const auto reply = client->GetRollout(request);
  if (!reply) {
    return Fail("rollout", reply.error(), aStreams);
  }
  aStreams.mOut << (IsJson() ? JsonOf(reply.value(), true) : RolloutText(reply.value()));
  return ExitOk;
}

int Drain(const words& aArguments, streams aStreams)
{
  const auto client = Connect("drain", aStreams);
  if (!client) {
    return ExitUsage;
  }
  admin::drain_request request;
  request.set_instance(aArguments[0]);
  request.set_undo(FLAGS_operator_undo);
  const auto reply = client->Drain(request);
  if (!reply) {
    return Fail("drain", reply.error(), aStreams);
  }
  const std::string_view what = FLAGS_operator_undo ? "takes new work again" : "takes no new work";
  aStreams.mOut << fmt::format("instance \"{}\" {}, {} running\n", aArguments[0], what, reply.value().running());
  return ExitOk;
}

} // namespace

std::vector<command> OperatorCommands()
{
  const flag count{ "count", "operator_count" };
  return {
    { "get",
      "KIND [NAME]",
      "Prints an object, or all of a kind: workspace, route, model, pool, placement, operator_key.",
      WithClientFlags({ kOutput, { "workspace", "operator_workspace" } }),
      1,
      2,
      Get },
    { "watch",
      "",
      "Prints changes as they are accepted.",
      WithClientFlags({ kOutput, { "after", "watch_after" }, count }),
      0,
      0,
      Watch },
    { "audit",
      "",
      "Prints who changed what, when, and from which value to which.",
      WithClientFlags({ kOutput, { "after", "audit_after" }, count }),
      0,
      0,
      Audit },
    { "status", "", "Prints all instances and what they do.", WithClientFlags({ kOutput }), 0, 0, Status },
    { "rollout",
      "",
      "Prints which instances have a revision in force.",
      WithClientFlags({ kOutput, { "revision", "operator_revision" } }),
      0,
      0,
      Rollout },
    { "drain",
      "INSTANCE",
      "Tells an instance to take no new work.",
      WithClientFlags({ { "undo", "operator_undo" } }),
      1,
      1,
      Drain },
  };
}

} // namespace chervilpulley::cli
