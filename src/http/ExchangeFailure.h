// Why a request to a peer got no whole answer, and whether the peer may have seen it.
#pragma once

#include "base/Error.h"

namespace coriandergate::http {

// ExchangeFailure is a value. `error` names the step and the peer.
struct ExchangeFailure {
    enum class Stage {
        Connect, // no byte was sent: the peer has not seen the request
        AwaitAnswer, // sent in part or whole, no byte of an answer
        ReadAnswer, // an answer began and didn't end well
        Cancelled, // given up by the sender
    };

    Stage stage = Stage::Connect;
    bool mayHaveRun = false;
    bool wasReset = false; // the peer reset or closed the connection while the request was under way
    bool wasReusedConnection = false;
    bool wasTimeout = false;
    Error error;
};

} // namespace coriandergate::http
