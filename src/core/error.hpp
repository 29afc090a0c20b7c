#ifndef PARSLEYPLANK_CORE_ERROR_HPP
#define PARSLEYPLANK_CORE_ERROR_HPP

// Exceptions of the project. Each message names the cause: the invalid key,
// file, line, instance or value.

#include <stdexcept>

namespace parsleyplank
{

// Base class of all exceptions of the project.
class error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

// The store did not accept the operation: nothing was read or written.
class store_unavailable : public error
{
public:
    using error::error;
};

// A write was sent and got no response: it may or may not have taken effect.
class store_outcome_unknown : public error
{
public:
    using error::error;
};

// Bytes from an external source (a peer, the store, a file) can't be decoded.
class codec_error : public error
{
public:
    using error::error;
};

// A configuration or settings file is invalid.
class config_error : public error
{
public:
    using error::error;
};

} // namespace parsleyplank

#endif
