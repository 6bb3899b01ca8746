#include "support/admin_fixture.h"

#include "cli/apply_change.h"

using namespace chervilpulley;
using namespace chervilpulley::test;
using admin::admin_errc;
using cli::client_errc;

namespace {

constexpr duration kNoPause{ 0 };

class client_fixture : public admin_fixture
{
public:
  cli::client_result<admin::apply_reply> Apply(const std::string& aKey = "alice.s")
  {
    admin::apply_request request;
    *request.mutable_change() = MakeChange("c", { PutPool("x") });
    return cli::ApplyChange(*Client(aKey), request, kNoPause);
  }

  void FailNext(int aCalls, admin_errc aCode)
  {
    for (int i = 0; i < aCalls; ++i) {
      mBackend.mApplyErrors.push_back({ aCode, "the reason" });
    }
  }
};

struct fault_case
{
  admin_errc mError;
  client_errc mCode;
};

} // namespace

TEST_CASE_METHOD(client_fixture, "apply_change_lasting_fault_gives_its_code")
{
  const std::vector<fault_case> cases{
    { admin_errc::Invalid, client_errc::Refused },         { admin_errc::Conflict, client_errc::Conflict },
    { admin_errc::Forbidden, client_errc::Refused },       { admin_errc::Unknown, client_errc::Unknown },
    { admin_errc::Unavailable, client_errc::Unavailable },
  };
  for (const fault_case& each : cases) {
    mBackend.mApplyErrors.clear();
    FailNext(5, each.mError);
    CHECK(Apply().error().mCode == each.mCode);
  }
}

TEST_CASE_METHOD(client_fixture, "apply_change_lost_response_is_retried_and_accepted_once")
{
  mBackend.mAcceptsDespiteError = true;
  FailNext(2, admin_errc::Unknown);
  const auto applied = Apply();
  REQUIRE(applied);
  REQUIRE(applied.value().repeated());
  REQUIRE(mBackend.EntryCount() == 4);
}

TEST_CASE_METHOD(client_fixture, "apply_change_unknown_then_unavailable_stays_unknown")
{
  FailNext(1, admin_errc::Unknown);
  FailNext(4, admin_errc::Unavailable);
  REQUIRE(Apply().error().mCode == client_errc::Unknown);
}

TEST_CASE_METHOD(client_fixture, "apply_change_to_stopped_server_is_unavailable")
{
  mServer->Stop();
  const auto applied = Apply();
  REQUIRE(applied.error().mCode == client_errc::Unavailable);
  REQUIRE(applied.error().mMessage == "no server answers at \"" + mServer->LocalEndpoint().Str() + "\"");
}

TEST_CASE_METHOD(client_fixture, "client_watch_ends_when_its_sink_returns_false")
{
  int entries = 0;
  REQUIRE(Client("rhys.s")->Watch(admin::watch_request(), [&](const admin::log_entry&) { return ++entries < 2; }));
  REQUIRE(entries == 2);
}
