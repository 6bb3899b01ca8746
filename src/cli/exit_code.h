#pragma once

namespace chervilpulley::cli {

/// Exit status of every command; scripts may rely on them.
enum exit_code : int
{
  ExitOk = 0,
  ExitRefused = 1,     ///< invalid input, or refused by the other side
  ExitUsage = 2,       ///< the command line can't be understood
  ExitUnavailable = 3, ///< the other side can't be reached
  ExitConflict = 4,    ///< another change was first
  ExitUnknown = 5      ///< the change may or may not have been accepted
};

} // namespace chervilpulley::cli
