#include "admin/grpc_logs.h"

#include <grpc/support/log.h>

namespace chervilpulley::admin {

void SilenceGrpcLogs()
{
  gpr_set_log_function([](gpr_log_func_args*) {});
}

} // namespace chervilpulley::admin
