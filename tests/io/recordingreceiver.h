#pragma once

#include "httpclient.h"

#include <optional>

namespace nutmeghinge {

/** Records the answer that the client passes to it. */
struct RecordingReceiver final : HttpAnswerReceiver {
    void headReceived(const HttpAnswerHead &received) override { head = received; }
    bool bodyReceived(std::string_view data) override
    {
        bodyBytes += data.size();
        if (keepsBody) {
            body += data;
        }
        return wantsMore;
    }
    void finished(HttpCallResult received) override { result = received; }

    std::optional<HttpAnswerHead> head;
    std::string body;
    std::size_t bodyBytes = 0;
    bool keepsBody = true;
    bool wantsMore = true;
    std::optional<HttpCallResult> result;
};

} // namespace nutmeghinge
