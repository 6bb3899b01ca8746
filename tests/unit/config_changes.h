#pragma once

#include <string>

#include "generated/admin.pb.h"
#include "policy/config_objects.h"

/// Builders of configuration objects and changes for tests.
namespace chervilpulley::test {

inline admin::object Workspace(const std::string& aName, unsigned aWeight = 1)
{
  admin::object object;
  object.mutable_workspace()->set_name(aName);
  object.mutable_workspace()->set_weight(aWeight);
  return object;
}

inline admin::object Pool(const std::string& aName, admin::backend_kind aKind)
{
  admin::object object;
  object.mutable_pool()->set_name(aName);
  object.mutable_pool()->set_kind(aKind);
  return object;
}

inline admin::object Route(const std::string& aWorkspace, const std::string& aName, const std::string& aPool)
{
  admin::object object;
  object.mutable_route()->set_workspace(aWorkspace);
  object.mutable_route()->set_name(aName);
  object.mutable_route()->set_pool(aPool);
  return object;
}

inline admin::object Model(const std::string& aName, const std::string& aPool, unsigned aLayers)
{
  admin::object object;
  object.mutable_model()->set_name(aName);
  object.mutable_model()->set_pool(aPool);
  object.mutable_model()->set_layer_count(aLayers);
  return object;
}

inline admin::object Placement(const std::string& aInstance, const std::string& aModel, unsigned aFirst, unsigned aLast)
{
  admin::object object;
  object.mutable_placement()->set_instance(aInstance);
  object.mutable_placement()->set_model(aModel);
  object.mutable_placement()->set_first_layer(aFirst);
  object.mutable_placement()->set_last_layer(aLast);
  return object;
}

inline void AddPut(admin::change& aChange,
                   const admin::object& aObject,
                   std::uint64_t aExpected = 0,
                   admin::change_op aOp = admin::CHANGE_OP_PUT)
{
  auto* operation = aChange.add_operations();
  operation->set_op(aOp);
  operation->mutable_ref()->set_kind(policy::KindOf(aObject));
  operation->mutable_ref()->set_name(policy::NameOf(aObject));
  operation->set_expected_version(aExpected);
  *operation->mutable_object() = aObject;
}

inline void AddDelete(admin::change& aChange,
                      admin::object_kind aKind,
                      const std::string& aName,
                      std::uint64_t aExpected = 0)
{
  auto* operation = aChange.add_operations();
  operation->set_op(admin::CHANGE_OP_DELETE);
  operation->mutable_ref()->set_kind(aKind);
  operation->mutable_ref()->set_name(aName);
  operation->set_expected_version(aExpected);
}

inline admin::change Put(const std::string& aId, const admin::object& aObject, std::uint64_t aExpected = 0)
{
  admin::change change;
  change.set_change_id(aId);
  AddPut(change, aObject, aExpected);
  return change;
}

inline admin::change Delete(const std::string& aId, admin::object_kind aKind, const std::string& aName)
{
  admin::change change;
  change.set_change_id(aId);
  AddDelete(change, aKind, aName);
  return change;
}

} // namespace chervilpulley::test
