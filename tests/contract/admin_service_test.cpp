#include "support/admin_fixture.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>

#include <future>
#include <thread>

#include "admin/outcome_metadata.h"
#include "generated/admin.grpc.pb.h"

using namespace chervilpulley;
using namespace chervilpulley::test;
using admin::admin_errc;

namespace {

/// Calls the service through the generated stub, as an operator's script does, without the client of src/cli.
class service_fixture : public admin_fixture
{
public:
  std::unique_ptr<admin::admin::Stub> Stub() const
  {
    return admin::admin::NewStub(
      grpc::CreateChannel(mServer->LocalEndpoint().Str(), grpc::InsecureChannelCredentials()));
  }

  /// A context with a key as "authorization"; without metadata when the key is empty.
  std::unique_ptr<grpc::ClientContext> Context(const std::string& aKey) const
  {
    auto context = std::make_unique<grpc::ClientContext>();
    if (!aKey.empty()) {
      context->AddMetadata("authorization", "Bearer " + aKey);
    }
    return context;
  }

  grpc::Status Apply(const std::string& aKey, const admin::change& aChange, bool aValidateOnly = false)
  {
    mContext = Context(aKey);
    admin::apply_request request;
    *request.mutable_change() = aChange;
    request.set_validate_only(aValidateOnly);
    return Stub()->Apply(mContext.get(), request, &mApplied);
  }

  grpc::Status Get(const std::string& aKey, admin::object_kind aKind, const std::string& aName)
  {
    mContext = Context(aKey);
    admin::get_request request;
    request.mutable_ref()->set_kind(aKind);
    request.mutable_ref()->set_name(aName);
    return Stub()->Get(mContext.get(), request, &mGot);
  }

  std::string Outcome() const
  {
    const auto& trailer = mContext->GetServerTrailingMetadata();
    const auto found = trailer.find(admin::kOutcomeMetadata);
    return found == trailer.end() ? "" : std::string(found->second.data(), found->second.size());
  }

  std::unique_ptr<grpc::ClientContext> mContext;
  admin::apply_reply mApplied;
  admin::get_reply mGot;
};

struct fault_case
{
  admin_errc mError;
  grpc::StatusCode mCode;
  std::string mOutcome;
};

struct refusal_case
{
  std::string mKey;
  admin::change mChange;
  grpc::StatusCode mCode;
  std::string mText;
};

} // namespace

TEST_CASE_METHOD(service_fixture, "admin_apply_backend_fault_gives_its_code_and_outcome")
{
  const std::vector<fault_case> cases{
    { admin_errc::Invalid, grpc::INVALID_ARGUMENT, "not_run" },
    { admin_errc::NotFound, grpc::NOT_FOUND, "not_run" },
    { admin_errc::Conflict, grpc::ABORTED, "not_run" },
    { admin_errc::Unknown, grpc::UNKNOWN, "" },
    { admin_errc::Unavailable, grpc::UNAVAILABLE, "not_run" },
    { admin_errc::Forbidden, grpc::PERMISSION_DENIED, "not_run" },
    { admin_errc::BadKey, grpc::UNAUTHENTICATED, "not_run" },
    { admin_errc::Busy, grpc::RESOURCE_EXHAUSTED, "not_run" },
  };
  for (const fault_case& each : cases) {
    mBackend.mApplyErrors = { { each.mError, "the reason" } };
    const auto status = Apply("alice.s", MakeChange("c1", { PutPool("x") }));
    CHECK(status.error_code() == each.mCode);
    CHECK_THAT(status.error_message(), Catch::Contains("the reason"));
    CHECK(Outcome() == each.mOutcome);
  }
  REQUIRE(mBackend.EntryCount() == 3);
}

TEST_CASE_METHOD(service_fixture, "admin_apply_unknown_outcome_names_the_change_id")
{
  mBackend.mApplyErrors = { { admin_errc::Unknown, "no answer" } };
  const auto status = Apply("alice.s", MakeChange("c-17", { PutPool("x") }));
  REQUIRE_THAT(status.error_message(), Catch::Contains("the outcome of change \"c-17\" is unknown"));
}

TEST_CASE_METHOD(service_fixture, "admin_apply_bad_request_is_refused_and_changes_nothing")
{
  admin::operation dangling = PutRoute("drafting", "a");
  dangling.mutable_object()->mutable_route()->set_pool("nowhere");
  admin::operation stale = PutWorkspace("drafting", 2);
  stale.set_expected_version(1);
  const std::vector<refusal_case> cases{
    { "", MakeChange("c", { PutPool("x") }), grpc::UNAUTHENTICATED, "authorization" },
    { "alice.t", MakeChange("c", { PutPool("x") }), grpc::UNAUTHENTICATED, "the key is not one" },
    { "boot.strap", MakeChange("c", { PutPool("x") }), grpc::UNAUTHENTICATED, "the key is not one" },
    { "rhys.s",
      MakeChange("c", { PutPool("x") }),
      grpc::PERMISSION_DENIED,
      "role \"reader\" may not apply changes; role \"operator\" is needed" },
    { "carys.s", MakeChange("c", { PutRoute("other", "a") }), grpc::PERMISSION_DENIED, "role \"operator\" is needed" },
    { "alice.s", MakeChange("", { PutPool("x") }), grpc::INVALID_ARGUMENT, "a change needs a change id" },
    { "alice.s", MakeChange("c", {}), grpc::INVALID_ARGUMENT, "change \"c\" has no operations" },
    { "alice.s", MakeChange(std::string(200, 'c'), { PutPool("x") }), grpc::INVALID_ARGUMENT, "at most 128" },
    { "alice.s", MakeChange("c", { dangling }), grpc::NOT_FOUND, "nowhere" },
    { "alice.s", MakeChange("c", { stale }), grpc::ABORTED, "drafting" },
    { "alice.s", MakeChange("c", { admin::operation() }), grpc::INVALID_ARGUMENT, "" },
    { "alice.s",
      MakeChange("c", std::vector<admin::operation>(1001, PutPool("x"))),
      grpc::INVALID_ARGUMENT,
      "more than 1000 operations" },
    { "alice.s", MakeChange("c", { PutPool(std::string(3 << 20, 'x')) }), grpc::RESOURCE_EXHAUSTED, "larger than max" },
  };
  for (const refusal_case& each : cases) {
    const auto status = Apply(each.mKey, each.mChange);
    INFO(status.error_message());
    CHECK(status.error_code() == each.mCode);
    CHECK_THAT(status.error_message(), Catch::Contains(each.mText));
  }
  REQUIRE(mBackend.EntryCount() == 3);
}

TEST_CASE_METHOD(service_fixture, "admin_apply_of_clerk_to_own_route_is_accepted_in_its_name")
{
  REQUIRE(Apply("carys.s", MakeChange("c", { PutRoute("drafting", "a") })).ok());
  REQUIRE(mBackend.Log(revision_number(3), 1).value().mEntries[0].actor() == "carys");
}

TEST_CASE_METHOD(service_fixture, "admin_apply_validate_only_writes_nothing")
{
  REQUIRE(Apply("alice.s", MakeChange("", { PutPool("x") }), true).ok());
  REQUIRE(Apply("alice.s", MakeChange("c", { PutRoute("nowhere", "a") }), true).error_code() == grpc::NOT_FOUND);
  REQUIRE(mBackend.EntryCount() == 3);
}

TEST_CASE_METHOD(service_fixture, "admin_apply_same_change_id_again_is_accepted_once")
{
  const auto change = MakeChange("c", { PutPool("x") });
  REQUIRE(Apply("alice.s", change).ok());
  REQUIRE_FALSE(mApplied.repeated());
  REQUIRE(Apply("alice.s", change).ok());
  REQUIRE(mApplied.repeated());
  REQUIRE(mBackend.EntryCount() == 4);
}

TEST_CASE_METHOD(service_fixture, "admin_replies_never_hold_hashes_of_keys")
{
  REQUIRE(Get("rhys.s", admin::OBJECT_KIND_OPERATOR_KEY, "alice").ok());
  CHECK(mGot.object().operator_key().key_hash().empty());
  REQUIRE(Get("rhys.s", admin::OBJECT_KIND_WORKSPACE, "drafting").ok());
  CHECK(mGot.object().workspace().api_key_hashes().empty());
  admin::list_request list;
  list.set_kind(admin::OBJECT_KIND_OPERATOR_KEY);
  admin::list_reply listed;
  REQUIRE(Stub()->List(Context("rhys.s").get(), list, &listed).ok());
  CHECK(listed.DebugString().find("key_hash") == std::string::npos);
  admin::audit_reply audited;
  REQUIRE(Stub()->Audit(Context("rhys.s").get(), admin::audit_request(), &audited).ok());
  REQUIRE(audited.entries_size() == 3);
  CHECK(audited.DebugString().find('$') == std::string::npos);
  CHECK(audited.DebugString().find("key_hash: \"fingerprint:") != std::string::npos);
}

TEST_CASE_METHOD(service_fixture, "admin_update_without_hashes_keeps_the_keys")
{
  REQUIRE(Apply("alice.s", MakeChange("c", { PutWorkspace("drafting", 7) })).ok());
  REQUIRE(mBackend.View()->WorkspaceOfKey("drafting.w") != nullptr);
  REQUIRE(mBackend.View()->WorkspaceOfKey("drafting.w")->weight() == 7);
}

TEST_CASE_METHOD(service_fixture, "admin_update_without_hashes_that_races_a_new_key_keeps_the_new_key")
{
  mBackend.mBeforeApply = [this] { Put({ PutWorkspace("drafting", 1, "newer") }); };
  REQUIRE(Apply("alice.s", MakeChange("c", { PutWorkspace("drafting", 7) })).ok());
  REQUIRE(mBackend.View()->WorkspaceOfKey("drafting.w") == nullptr);
  REQUIRE(mBackend.View()->WorkspaceOfKey("drafting.newer")->weight() == 7);
}

TEST_CASE_METHOD(service_fixture, "admin_list_in_pages_gives_every_object_once")
{
  for (int i = 0; i < 5; ++i) {
    Put({ PutPool("p" + std::to_string(i)) });
  }
  admin::list_request request;
  request.set_kind(admin::OBJECT_KIND_POOL);
  request.set_page_size(2);
  std::vector<std::string> names;
  do {
    admin::list_reply reply;
    REQUIRE(Stub()->List(Context("rhys.s").get(), request, &reply).ok());
    REQUIRE(reply.objects_size() <= 2);
    for (const auto& object : reply.objects()) {
      names.push_back(object.pool().name());
    }
    request.set_page_token(reply.next_page_token());
  } while (!request.page_token().empty());
  REQUIRE(names == std::vector<std::string>{ "p0", "p1", "p2", "p3", "p4", "rota" });
}

TEST_CASE_METHOD(service_fixture, "admin_list_with_bad_request_is_invalid")
{
  admin::list_reply reply;
  admin::list_request request;
  CHECK(Stub()->List(Context("rhys.s").get(), request, &reply).error_code() == grpc::INVALID_ARGUMENT);
  request.set_kind(admin::OBJECT_KIND_POOL);
  request.set_workspace("drafting");
  CHECK(Stub()->List(Context("rhys.s").get(), request, &reply).error_code() == grpc::INVALID_ARGUMENT);
  request.clear_workspace();
  for (const char* token : { "zz", "61", "0" }) {
    request.set_page_token(token);
    CHECK(Stub()->List(Context("rhys.s").get(), request, &reply).error_code() == grpc::INVALID_ARGUMENT);
  }
}

TEST_CASE_METHOD(service_fixture, "admin_audit_in_pages_gives_every_entry_in_order")
{
  admin::audit_request request;
  request.set_page_size(2);
  admin::audit_reply reply;
  REQUIRE(Stub()->Audit(Context("rhys.s").get(), request, &reply).ok());
  REQUIRE(reply.entries_size() == 2);
  REQUIRE(reply.head_revision() == 3);
  request.set_after_revision(2);
  REQUIRE(Stub()->Audit(Context("rhys.s").get(), request, &reply).ok());
  REQUIRE(reply.entries_size() == 1);
  REQUIRE(reply.entries(0).revision() == 3);
}

TEST_CASE_METHOD(service_fixture, "admin_read_while_platform_is_down_is_unavailable_but_objects_are_read")
{
  mBackend.mReadError = { { admin_errc::Unavailable, "the platform can't be reached" } };
  admin::audit_reply reply;
  CHECK(Stub()->Audit(Context("rhys.s").get(), admin::audit_request(), &reply).error_code() == grpc::UNAVAILABLE);
  CHECK(Get("rhys.s", admin::OBJECT_KIND_POOL, "rota").ok());
  CHECK(Get("rhys.s", admin::OBJECT_KIND_POOL, "none").error_message() == "pool \"none\" does not exist");
}

TEST_CASE_METHOD(service_fixture, "admin_watch_gives_entries_in_order_as_they_are_accepted")
{
  const auto context = Context("rhys.s");
  const auto stub = Stub();
  const auto reader = stub->Watch(context.get(), admin::watch_request());
  admin::log_entry entry;
  for (std::uint64_t revision = 1; revision <= 5; ++revision) {
    if (revision > 3) {
      Put({ PutPool("p" + std::to_string(revision)) });
    }
    REQUIRE(reader->Read(&entry));
    REQUIRE(entry.revision() == revision);
    REQUIRE(entry.DebugString().find('$') == std::string::npos);
  }
  context->TryCancel();
  REQUIRE(reader->Finish().error_code() == grpc::CANCELLED);
}

TEST_CASE_METHOD(service_fixture, "admin_watch_ends_when_its_key_is_removed")
{
  const auto context = Context("rhys.s");
  const auto stub = Stub();
  admin::watch_request request;
  request.set_after_revision(3);
  const auto reader = stub->Watch(context.get(), request);
  admin::operation removal;
  removal.set_op(admin::CHANGE_OP_DELETE);
  removal.mutable_ref()->set_kind(admin::OBJECT_KIND_OPERATOR_KEY);
  removal.mutable_ref()->set_name("rhys");
  Put({ removal });
  admin::log_entry entry;
  while (reader->Read(&entry)) {
  }
  REQUIRE(reader->Finish().error_code() == grpc::UNAUTHENTICATED);
}

TEST_CASE_METHOD(service_fixture, "admin_watch_over_the_limit_is_refused_and_others_continue")
{
  const auto stub = Stub();
  std::vector<std::unique_ptr<grpc::ClientContext>> contexts;
  std::vector<std::unique_ptr<grpc::ClientReader<admin::log_entry>>> readers;
  admin::log_entry entry;
  for (int i = 0; i < 12; ++i) {
    contexts.push_back(Context("rhys.s"));
    readers.push_back(stub->Watch(contexts.back().get(), admin::watch_request()));
    REQUIRE(readers.back()->Read(&entry));
  }
  const auto context = Context("rhys.s");
  const auto reader = stub->Watch(context.get(), admin::watch_request());
  REQUIRE_FALSE(reader->Read(&entry));
  REQUIRE(reader->Finish().error_code() == grpc::RESOURCE_EXHAUSTED);
  REQUIRE(Get("rhys.s", admin::OBJECT_KIND_POOL, "rota").ok());
}

TEST_CASE_METHOD(service_fixture, "admin_stop_ends_a_watch_as_unavailable")
{
  const auto context = Context("rhys.s");
  const auto stub = Stub();
  const auto reader = stub->Watch(context.get(), admin::watch_request());
  admin::log_entry entry;
  REQUIRE(reader->Read(&entry));
  auto stopped = std::async(std::launch::async, [this] { mServer->Stop(); });
  while (reader->Read(&entry)) {
  }
  REQUIRE(reader->Finish().error_code() == grpc::UNAVAILABLE);
  stopped.get();
}

TEST_CASE_METHOD(service_fixture, "admin_malformed_bytes_are_refused_and_others_are_served")
{
  const auto channel = grpc::CreateChannel(mServer->LocalEndpoint().Str(), grpc::InsecureChannelCredentials());
  grpc::GenericStub stub(channel);
  const auto context = Context("alice.s");
  grpc::CompletionQueue queue;
  const grpc::Slice garbage("\xff\xff\xff\xff\xff");
  const auto call =
    stub.PrepareUnaryCall(context.get(), "/chervilpulley.admin.admin/Apply", grpc::ByteBuffer(&garbage, 1), &queue);
  call->StartCall();
  grpc::ByteBuffer reply;
  grpc::Status status;
  call->Finish(&reply, &status, this);
  void* tag = nullptr;
  bool isDone = false;
  REQUIRE(queue.Next(&tag, &isDone));
  CHECK_FALSE(status.ok());
  REQUIRE(Get("rhys.s", admin::OBJECT_KIND_POOL, "rota").ok());
}

TEST_CASE_METHOD(service_fixture, "admin_start_at_a_taken_port_names_the_address")
{
  const auto second = admin::admin_server::Start({ mServer->LocalEndpoint(), "" }, mBackend);
  REQUIRE_FALSE(second);
  REQUIRE_THAT(second.error().mMessage, Catch::Contains(mServer->LocalEndpoint().Str()));
}
