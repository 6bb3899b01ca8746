#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>

/// Results of calls that can fail. Each layer has its own error type and converts the errors of the layers below to it.
namespace chervilpulley {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value, or the error of the layer that was called.
template<class T, class Error>
using result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace chervilpulley
