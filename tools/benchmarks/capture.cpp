// Serves HTTP on loopback and captures its packets into a file, for the replay test's data.
#include "net/ihttpresponder.h"
#include "net/pistachehttpserver.h"
#include "net/types/httpanswer.h"
#include "net/types/httprequest.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <cstdio>
#include <pcap/pcap.h>
#include <string>
#include <thread>

ABSL_FLAG(int, network, 11, "Loopback network 127.N.0.0/16 to use");
ABSL_FLAG(int, port, 8088, "Port to serve on");
ABSL_FLAG(int, seconds, 5, "How long to capture");
ABSL_FLAG(std::string, file, "capture.pcap", "File to write");

namespace radishladder::net {
namespace {
constexpr int kSnapshotBytes = 65535;
constexpr int kReadTimeoutMs = 100;
constexpr std::chrono::milliseconds kPollPeriod{10};
constexpr std::size_t kAnswerBytes = 3000;

int fail(const std::string &what)
{
    std::fprintf(stderr, "%s\n", what.c_str());
    return 1;
}

int capture(const Endpoint &local)
{
    char error[PCAP_ERRBUF_SIZE] = "";
    pcap_t *source = pcap_open_live("lo", kSnapshotBytes, 0, kReadTimeoutMs, error);
    if (source == nullptr) {
        return fail(error);
    }
    const std::string filter =
        "tcp port " + std::to_string(local.port) + " and host " + addressText(local.address);
    bpf_program program{};
    pcap_dumper_t *file = pcap_dump_open(source, absl::GetFlag(FLAGS_file).c_str());
    if (pcap_compile(source, &program, filter.c_str(), 1, PCAP_NETMASK_UNKNOWN) != 0
        || pcap_setfilter(source, &program) != 0 || file == nullptr
        || pcap_setnonblock(source, 1, error) != 0) {
        return fail(pcap_geterr(source));
    }
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    while (std::chrono::steady_clock::now() < end) {
        // Without a packet a blocking read never returns on newer kernels.
        std::this_thread::sleep_for(kPollPeriod);
        pcap_dispatch(source, -1, pcap_dump, reinterpret_cast<unsigned char *>(file));
    }
    pcap_dump_close(file);
    pcap_freecode(&program);
    pcap_close(source);
    return 0;
}

int serveAndCapture()
{
    const auto network = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_network));
    const Endpoint local{0x7f000009 | network << 16,
                         static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))};
    HttpServerOptions options;
    options.local = local;
    PistacheHttpServer server(options);
    const bool started =
        server.start([](const HttpRequest &, const std::shared_ptr<IHttpResponder> &responder) {
            HttpAnswer answer;
            answer.body = std::string(kAnswerBytes, 'r');
            responder->answer(answer);
        });
    if (!started) {
        return fail(server.lastReason().detail);
    }
    const int result = capture(local);
    server.stop();
    return result;
}
}
}

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    return radishladder::net::serveAndCapture();
}
