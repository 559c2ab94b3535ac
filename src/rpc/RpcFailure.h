// Why a call to another daemon gave no result.
#pragma once

#include "base/Error.h"

namespace coriandergate::rpc {

// RpcFailure is a value; `error` names the step ("call method") and the peer.
struct RpcFailure {
    Error error;
    bool mayHaveRun = false; // the peer may have carried the call out; false: it certainly hasn't
};

} // namespace coriandergate::rpc
