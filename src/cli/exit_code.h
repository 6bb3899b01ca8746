#pragma once

/// The exit statuses of the program.
namespace chervilpulley::cli {

/// Exit status of every command; scripts may rely on these values.
enum exit_code : int
{
  ExitOk = 0,
  ExitRefused = 1,     ///< invalid input, or refused by the server
  ExitUsage = 2,       ///< invalid command line
  ExitUnavailable = 3, ///< the server can't be reached
  ExitConflict = 4,    ///< another change was accepted first
  ExitUnknown = 5      ///< the change may or may not have been accepted
};

} // namespace chervilpulley::cli
