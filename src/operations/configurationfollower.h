#pragma once

#include <string>

namespace radishladder::distribution {
class IDocumentFeed;
}
namespace radishladder::settings {
class ConfigurationHolder;
}
namespace radishladder::telemetry {
class ITimeLine;
}

namespace radishladder::operations {

//! Brings the accepted configuration from the documents into force on this VM.
class ConfigurationFollower
{
public:
    //! Subscribes itself to \a feed.
    ConfigurationFollower(distribution::IDocumentFeed &feed, settings::ConfigurationHolder &holder,
                          telemetry::ITimeLine &timeLine);

private:
    void tryHead();

    distribution::IDocumentFeed &feed;
    settings::ConfigurationHolder &holder;
    telemetry::ITimeLine &timeLine;

    //! Head that was accepted or refused for good.
    std::string settledHead;

    //! Head whose missing parts were noted on the time line.
    std::string waitingHead;
};
}
