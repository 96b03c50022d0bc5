#include "benchmarks/slotshares/sharemodel.h"

#include <array>
#include <cstdio>

int main()
{
    using namespace radishladder::benchmarks;
    constexpr std::array<const char *, 4> kNames = {"fixed", "handed over", "handed over late",
                                                    "lent"};
    std::puts("vms load skew policy              goodput refused messages/request overloads");
    for (const int vms : {3, 9}) {
        for (const double load : {0.5, 1.0, 1.5}) {
            for (const double skew : {0.0, 0.3}) {
                for (std::size_t policy = 0; policy < kNames.size(); ++policy) {
                    const ShareResult result = runShareModel(
                        {static_cast<SharePolicy>(policy), vms, load, skew, 20261204});
                    std::printf("%3d %4.1f %4.1f %-19s %7.3f %7.3f %16.2f %9d\n", vms, load, skew,
                                kNames[policy], result.goodput, result.refused,
                                result.messagesPerRequest, result.overloads);
                }
            }
        }
    }
    return 0;
}
