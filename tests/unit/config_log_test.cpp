#include "policy/config_writer.h"

#include <catch2/catch.hpp>

#include "config_changes.h"

using namespace chervilpulley;
using namespace chervilpulley::policy;
using namespace chervilpulley::test;

namespace {

struct config_log_fixture
{
  config_log_fixture()
  {
    admin::change change;
    change.set_change_id("base");
    AddPut(change, Route("tegid", "winch", "winches")); // refers to objects that follow in the same change
    AddPut(change, Workspace("tegid"));
    AddPut(change, Pool("winches", admin::BACKEND_KIND_SERVICE));
    AddPut(change, Pool("engines", admin::BACKEND_KIND_ENGINE));
    AddPut(change, Model("draft", "engines", 8));
    AddPut(change, Placement("i-1", "draft", 0, 3));
    Apply(change);
  }
  void Apply(const admin::change& aChange)
  {
    auto entry = mLog.Propose(aChange, mAuthor);
    REQUIRE(entry.has_value());
    REQUIRE(mLog.Accept(entry.value()) == accept_outcome::Applied);
  }
  change_error Refusal(const admin::change& aChange)
  {
    auto entry = mLog.Propose(aChange, mAuthor);
    REQUIRE(entry.has_error());
    return entry.error();
  }

  config_log mLog;
  change_author mAuthor{ "ann", {}, 1 };
};

admin::change Edited(admin::change aChange, const std::function<void(admin::change&)>& aEdit)
{
  aEdit(aChange);
  return aChange;
}

admin::change WithObject(const std::function<void(admin::object&)>& aEdit, admin::object aObject)
{
  aEdit(aObject);
  return Put("c", aObject);
}

} // namespace

TEST_CASE_METHOD(config_log_fixture, "config_log_entry_of_change_contains_the_replaced_object")
{
  const auto entry = mLog.Propose(Put("c", Workspace("tegid", 5), 1), mAuthor).value();
  REQUIRE(entry.revision() == 2);
  REQUIRE(entry.actor() == "ann");
  REQUIRE(entry.previous(0).version() == 1);
  REQUIRE(entry.previous(0).workspace().weight() == 1);
  mLog.Accept(entry);
  REQUIRE(mLog.Objects().Find(admin::OBJECT_KIND_WORKSPACE, "tegid")->version() == 2);
}

TEST_CASE_METHOD(config_log_fixture, "config_log_invalid_change_is_refused_with_its_reason")
{
  struct row
  {
    admin::change mChange;
    change_errc mCode;
    std::string mText;
  };
  const auto put = Put("c", Workspace("x"));
  const auto routeOf = [](const char* aWorkspace, const char* aPool) {
    return Put("c", Route(aWorkspace, "r", aPool));
  };
  const auto hash = [](const std::string& aHash) {
    return WithObject([&](admin::object& aObject) { aObject.mutable_workspace()->add_api_key_hashes(aHash); },
                      Workspace("x"));
  };
  const auto key = [](admin::role aRole, const std::string& aWorkspace) {
    admin::object object;
    object.mutable_operator_key()->set_name("k");
    object.mutable_operator_key()->set_key_hash("ab$" + std::string(64, '0'));
    object.mutable_operator_key()->set_role(aRole);
    object.mutable_operator_key()->set_workspace(aWorkspace);
    return Put("c", object);
  };
  const row rows[] = {
    { Edited(put, [](auto& aC) { aC.clear_change_id(); }), change_errc::Invalid, "change_id must be" },
    { Edited(put, [](auto& aC) { aC.set_change_id("a b"); }), change_errc::Invalid, "change_id must be" },
    { Edited(put, [](auto& aC) { aC.clear_operations(); }), change_errc::Invalid, "change holds 0 operations" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->clear_op(); }), change_errc::Invalid, "operation 1 says" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->clear_ref(); }), change_errc::Invalid, "names no object" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->clear_object(); }), change_errc::Invalid, "holds no value" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->mutable_ref()->set_name("y"); }),
      change_errc::Invalid,
      R"(names workspace "y" but holds workspace "x")" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->set_op(admin::CHANGE_OP_DELETE); }),
      change_errc::Invalid,
      "but holds a value" },
    { Edited(put, [](auto& aC) { *aC.add_operations() = aC.operations(0); }), change_errc::Invalid, "a second time" },
    { Put("c", Workspace("a/b")), change_errc::Invalid, "name must be" },
    { Put("c", Workspace("a.b")), change_errc::Invalid, "name must be" },
    { Put("c", Workspace(std::string(65, 'a'))), change_errc::Invalid, "name must be" },
    { Put("c", Workspace("x", 1001)), change_errc::Invalid, "weight is 1001, allowed is 0 to 1000" },
    { hash("plain-secret"), change_errc::Invalid, "api_key_hashes must hold a salted hash" },
    { hash("ab$12"), change_errc::Invalid, "api_key_hashes must hold a salted hash" },
    { hash("$" + std::string(64, '0')), change_errc::Invalid, "api_key_hashes must hold a salted hash" },
    { routeOf("none", "winches"), change_errc::NotFound, R"(workspace "none" does not exist)" },
    { routeOf("tegid", "none"), change_errc::NotFound, R"(pool "none" does not exist)" },
    { routeOf("tegid", "engines"), change_errc::Invalid, R"(pool "engines" is not one of services)" },
    { Put("c", Model("m", "none", 8)), change_errc::NotFound, R"(pool "none" does not exist)" },
    { Put("c", Model("m", "winches", 8)), change_errc::Invalid, R"(pool "winches" is not one of engines)" },
    { Put("c", Model("m", "engines", 0)), change_errc::Invalid, "layer_count is 0" },
    { Put("c", Model("draft", "engines", 3)), change_errc::Referenced, R"(placement "i-1" refers to it)" },
    { Put("c", Pool("engines", admin::BACKEND_KIND_SERVICE)), change_errc::Referenced, R"(model "draft" refers)" },
    { Put("c", Pool("p", admin::BACKEND_KIND_UNSPECIFIED)), change_errc::Invalid, "kind must be" },
    { Put("c", Placement("i", "none", 0, 1)), change_errc::NotFound, R"(model "none" does not exist)" },
    { Put("c", Placement("i", "draft", 2, 1)), change_errc::Invalid, "first_layer 2 is above last_layer 1" },
    { Put("c", Placement("i", "draft", 0, 8)), change_errc::Invalid, "not below the 8 layers" },
    { key(admin::ROLE_UNSPECIFIED, ""), change_errc::Invalid, "role must be" },
    { key(admin::ROLE_CLERK, ""), change_errc::Invalid, "workspace must be" },
    { key(admin::ROLE_CLERK, "none"), change_errc::NotFound, R"(workspace "none" does not exist)" },
    { key(admin::ROLE_READER, "tegid"), change_errc::Invalid, "only for the role clerk" },
    { Delete("c", admin::OBJECT_KIND_WORKSPACE, "tegid"), change_errc::Referenced, R"(route "winch" in workspace)" },
    { Delete("c", admin::OBJECT_KIND_POOL, "winches"), change_errc::Referenced, "refers to it" },
    { Delete("c", admin::OBJECT_KIND_MODEL, "draft"), change_errc::Referenced, "refers to it" },
    { Delete("c", admin::OBJECT_KIND_ROUTE, "tegid/x"),
      change_errc::NotFound,
      R"(route "x" does not exist in workspace "tegid")" },
    { Put("c", Workspace("tegid"), 5), change_errc::Conflict, R"(workspace "tegid" has version 1, expected 5)" },
    { Put("c", Workspace("new"), 5), change_errc::NotFound, R"(workspace "new" does not exist)" },
    { Edited(Put("c", Workspace("tegid")), [](auto& aC) { aC.mutable_operations(0)->set_op(admin::CHANGE_OP_CREATE); }),
      change_errc::AlreadyExists,
      R"(workspace "tegid" already exists)" },
    { Edited(put, [](auto& aC) { aC.mutable_operations(0)->set_op(admin::CHANGE_OP_UPDATE); }),
      change_errc::NotFound,
      R"(workspace "x" does not exist)" },
  };
  for (const auto& row : rows) {
    const auto refusal = Refusal(row.mChange);
    CAPTURE(row.mText, refusal.mMessage);
    REQUIRE(refusal.mCode == row.mCode);
    REQUIRE(refusal.mMessage.find(row.mText) != std::string::npos);
  }
  REQUIRE(mLog.Revision() == revision_number(1));
}

TEST_CASE_METHOD(config_log_fixture, "config_log_delete_with_its_referrers_in_one_change_is_accepted")
{
  admin::change change;
  change.set_change_id("c");
  AddDelete(change, admin::OBJECT_KIND_WORKSPACE, "tegid");
  AddDelete(change, admin::OBJECT_KIND_ROUTE, "tegid/winch");
  Apply(change);
  REQUIRE(mLog.Objects().Count(admin::OBJECT_KIND_WORKSPACE) == 0);
}

TEST_CASE_METHOD(config_log_fixture, "config_log_entry_out_of_order_changes_nothing")
{
  auto entry = mLog.Propose(Put("c", Workspace("x")), mAuthor).value();
  const auto before = mLog.State().SerializeAsString();
  entry.set_revision(3);
  REQUIRE(mLog.Accept(entry) == accept_outcome::Gap);
  entry.set_revision(1);
  REQUIRE(mLog.Accept(entry) == accept_outcome::AlreadyApplied);
  REQUIRE(mLog.State().SerializeAsString() == before);
}

TEST_CASE_METHOD(config_log_fixture, "config_log_state_is_installed_only_when_its_revision_is_higher")
{
  const auto older = mLog.State();
  Apply(Put("c", Workspace("x")));
  const auto newer = mLog.State();
  REQUIRE_FALSE(mLog.Install(older));
  REQUIRE_FALSE(mLog.Install(newer));
  config_log other;
  REQUIRE(other.Install(newer));
  REQUIRE(other.State().SerializeAsString() == newer.SerializeAsString());
  REQUIRE(other.AcceptedAt(change_id("base")) == revision_number(1));
  REQUIRE(other.AcceptedAt(change_id("c")) == revision_number(2));
}

TEST_CASE_METHOD(config_log_fixture, "config_log_change_too_large_for_one_object_is_refused")
{
  admin::change change;
  change.set_change_id("c");
  for (int i = 0; i < 250; ++i) {
    auto object = Workspace("w" + std::to_string(i));
    for (int j = 0; j < 16; ++j) {
      object.mutable_workspace()->add_api_key_hashes(std::string(64, 'a') + "$" + std::string(64, '0'));
    }
    AddPut(change, object);
  }
  Apply(change);
  change.set_change_id("d");
  REQUIRE(Refusal(change).mMessage.find("bytes with what it replaces") != std::string::npos);
}
