// Compiles the implementation of Asio and Beast, in this file only.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
