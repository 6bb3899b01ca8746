#pragma once

#include <string>
#include <vector>

#include "chervilpulley/policy_types.h"

/// What a completion has in common with others, for finding out what crashes engines: callers do not declare the parts
/// of their prompts, so beginnings of different lengths stand for them.
namespace chervilpulley::entry {

/// Digests of beginnings of the prompt, the shortest first, and then of the request as a whole.
/// @param aRequest digest of everything that determines the output.
std::vector<run_trait> PromptTraits(const std::string& aModel, const std::string& aPrompt, request_digest aRequest);

} // namespace chervilpulley::entry
