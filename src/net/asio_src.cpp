// Compiles the implementation of Asio and Beast, in this file only.
#include <boost/asio/impl/src.hpp>
// The parser of Beast 1.81 asserts that at least five bytes of a last chunk have arrived when it is read in pieces.
// After an empty body there may be four, which the code after the assertion handles.
#define BOOST_DISABLE_ASSERTS
#include <boost/assert.hpp>
#include <boost/beast/src.hpp>
