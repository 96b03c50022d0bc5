#pragma once

#include <functional>

namespace radishladder::net {
struct HttpAnswer;

//! Answers one received request, at once or later, from any thread.
class IHttpResponder
{
public:
    virtual ~IHttpResponder() = default;

    //! Sends \a answer; only the first call has an effect.
    virtual void answer(const HttpAnswer &answer) = 0;

    //! Closes the connection without an answer.
    virtual void drop() { }

    //! True if the caller has closed its connection.
    virtual bool isCallerGone() const = 0;
};
}
