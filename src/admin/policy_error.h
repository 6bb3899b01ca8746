#pragma once

#include "admin/admin_backend.h"
#include "policy/config_writer.h"

namespace chervilpulley::admin {

/// Converts errors of the configuration's rules and of its writer to errors of the operators' interface.
admin_error FromPolicy(const policy::change_error& aError);
admin_error FromPolicy(const policy::write_error& aError);

} // namespace chervilpulley::admin
