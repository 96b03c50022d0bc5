#include "standins/delayline.h"

#include "net/ieventloop.h"

namespace radishladder::standins {
void DelayLine::later(std::chrono::microseconds delay, std::function<void()> task)
{
    if (delay.count() == 0) {
        task();
        return;
    }
    // What rounding takes from one packet is given to the next.
    this->carried += delay;
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(this->carried);
    this->carried -= whole;
    this->loop.after(whole, std::move(task));
}
}
