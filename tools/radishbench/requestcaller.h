#pragma once

#include "net/types/endpoint.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace radishladder::net {
class IHttpClient;
struct HttpResult;
}

namespace radishladder::radishbench {

//! What a request asks for.
enum class RequestKind {
    Lookup,
    Reservation,
    Upload,
};

//! Callers that send requests to the entry VMs and judge each answer by its content.
class RequestCaller
{
public:
    //! What became of the requests of one kind.
    struct Counts
    {
        std::uint64_t sent = 0;

        //! The whole answer to this request.
        std::uint64_t answered = 0;

        //! An answer of another content.
        std::uint64_t bad = 0;

        //! Refused with a code that says "not run".
        std::uint64_t refused = 0;

        //! Any other numbered outcome.
        std::uint64_t failed = 0;

        //! The connection ended, or time ran out, after something was sent and before an answer.
        std::uint64_t cut = 0;

        //! No VM took the connection.
        std::uint64_t unreachable = 0;
    };

    //! Chooses the VM for the next connection, as the fabric would.
    using ChooseVm = std::function<net::Endpoint()>;

    RequestCaller(net::IHttpClient &client, ChooseVm chooseVm);

    //! Sends a request to \a service; \a bodyBytes only matter for uploads.
    void send(RequestKind kind, const std::string &service, std::size_t bodyBytes);

    const Counts &counts(RequestKind kind) const;
    Counts total() const;
    std::uint64_t outstanding() const { return this->outstandingCount; }

    //! Answers other than the whole one, by the result code that they state.
    const std::map<int, std::uint64_t> &codes() const { return this->byCode; }

    //! Keys of requests that were answered "not run".
    const std::set<std::string> &refusedKeys() const { return this->refused; }

    //! Time until the whole answer, for each answered lookup and reservation.
    const std::vector<std::chrono::microseconds> &latencies() const { return this->answerTimes; }

private:
    struct Attempt
    {
        RequestKind kind = RequestKind::Lookup;
        std::string service;
        std::string path;
        std::string body;
        std::string key;
        std::chrono::steady_clock::time_point startedAt;
        int connects = 0;
    };

    void connect(Attempt attempt);
    void judge(const Attempt &attempt, const net::HttpResult &result);
    void judgeRefusal(const Attempt &attempt, const net::HttpResult &result);
    Counts &countsOf(RequestKind kind);

    net::IHttpClient &client;
    ChooseVm chooseVm;
    std::array<Counts, 3> byKind;
    std::uint64_t lastNumber = 0;
    std::uint64_t outstandingCount = 0;
    std::map<int, std::uint64_t> byCode;
    std::set<std::string> refused;
    std::vector<std::chrono::microseconds> answerTimes;
};
}
