//! Settings objects like those of two small deployments.

fn object(me: usize, gateways: usize, classes: &str, plans: &str, more: &str) -> String {
    format!(
        "{{\"az\":{},\"me\":{me},\"siblings\":{gateways},\"callers\":{{\"marksRetry\":true}},\"classes\":[{classes}],\"plans\":[{plans}],\
\"discovery\":\"push\",\"family\":\"gate\",\"tickUs\":2000,\"tier\":0,\"tiers\":[\"claims-fleet\"],\"weights\":\"nominal\",\
\"prices\":{{\"connection\":0.0,\"crossZone\":0.01,\"discovery\":0.0,\"handshake\":0.0,\"lateFail\":0.08,\"moves\":0.0,\"origin\":0.0,\"peer\":0.03,\"probe\":0.01,\"waste\":0.08}},\
\"resultMix\":{{\"whole\":0.5,\"worstClass\":0.1,\"worstTenant\":0.15,\"worstWindow\":0.25}},{more}}}",
        me % 3
    )
}

fn limits(attempts: u32) -> String {
    format!(
        "\"limits\":{{\"attemptsCap\":{attempts},\"cancel\":true,\"connIdleUs\":15000000,\"connectTimeoutUs\":250000,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\"maxOpen\":20000,\"maxRetryAfterUs\":1000000,\"maxStreams\":1,\"mayProbe\":true,\"peers\":true,\"retryAfter\":true,\"secondCopies\":false}}"
    )
}

/// Like `campus-evora`: claim-read (safe) and loss-report (unsafe), a drain's grace of 500 ms.
pub fn campus(me: usize, gateways: usize) -> String {
    let classes = "{\"aimUs\":600000,\"deadlineUs\":2500000,\"group\":\"all\",\"lateWorth\":0.2,\"name\":\"claim-read\",\"semantics\":\"retryable\",\"stream\":false,\"value\":2.0,\"windowUs\":5000000},\
{\"aimUs\":600000,\"deadlineUs\":1500000,\"group\":\"all\",\"lateWorth\":0.0,\"name\":\"loss-report\",\"semantics\":\"fragile\",\"stream\":false,\"value\":6.0,\"windowUs\":5000000}";
    let plans = "{\"ceilingRate\":0.0,\"concurrency\":0,\"depth\":12.0,\"excessCost\":1.0,\"excessWorth\":0.0,\"name\":\"base\",\"neverOverDepth\":0.0,\"rate\":2.7,\"tolerance\":0.0,\"valueFactor\":1.1},\
{\"ceilingRate\":35.0,\"concurrency\":0,\"depth\":19.0,\"excessCost\":0.6,\"excessWorth\":0.0,\"name\":\"alargado\",\"neverOverDepth\":45.0,\"rate\":15.0,\"tolerance\":5.0,\"valueFactor\":1.6}";
    let more = format!(
        "{},\"rules\":{{\"askEveryUs\":10000000,\"coldFrom\":0.15,\"drainGraceUs\":500000,\"fallMultiple\":3.0,\"graceToAnswerUs\":8000,\"tipAfterUs\":1500000,\"warmAfterUs\":17000000}},\
\"familyInfo\":{{\"countFee\":0.0,\"countLimitUs\":0,\"mailPerS\":40.0,\"maxUnits\":1,\"meterUs\":500000,\"sharedCounter\":false,\"truedUp\":false}},\
\"stats\":{{\"columns\":[\"outstanding\",\"recent_ms\"],\"how\":\"probe\"}},\"skus\":[\"node-3c\"],\"zones\":[\"building-a\",\"building-b\",\"building-c\"]",
        limits(4)
    );
    object(me, gateways, classes, plans, &more)
}

/// Like `douro-claims`: claim-status (safe) and loss-notice (keyed; one room drops a repeat for 1.5 s).
pub fn douro(me: usize, gateways: usize) -> String {
    let classes = "{\"aimUs\":400000,\"deadlineUs\":2000000,\"group\":\"all\",\"lateWorth\":0.2,\"name\":\"claim-status\",\"semantics\":\"retryable\",\"stream\":false,\"value\":3.0,\"windowUs\":5000000},\
{\"aimUs\":1000000,\"deadlineUs\":2500000,\"group\":\"zone\",\"lateWorth\":0.2,\"name\":\"loss-notice\",\"semantics\":\"dedup\",\"stream\":false,\"value\":9.0,\"windowUs\":1500000}";
    let plans = "{\"ceilingRate\":0.0,\"concurrency\":0,\"depth\":8.0,\"excessCost\":0.0,\"excessWorth\":0.3,\"name\":\"basico\",\"neverOverDepth\":0.0,\"rate\":1.8,\"tolerance\":0.0,\"valueFactor\":0.72},\
{\"ceilingRate\":20.0,\"concurrency\":0,\"depth\":20.0,\"excessCost\":0.5,\"excessWorth\":0.0,\"name\":\"medio\",\"neverOverDepth\":42.0,\"rate\":9.0,\"tolerance\":4.2,\"valueFactor\":1.2},\
{\"ceilingRate\":0.0,\"concurrency\":0,\"depth\":70.0,\"excessCost\":0.5,\"excessWorth\":0.0,\"name\":\"alargado\",\"neverOverDepth\":0.0,\"rate\":35.0,\"tolerance\":0.0,\"valueFactor\":1.4}";
    let more = format!(
        "{},\"rules\":{{\"askEveryUs\":10000000,\"coldFrom\":0.28,\"drainGraceUs\":500000,\"fallMultiple\":2.0,\"graceToAnswerUs\":8000,\"tipAfterUs\":1000000,\"warmAfterUs\":17000000}},\
\"familyInfo\":{{\"countFee\":0.0,\"countLimitUs\":0,\"mailPerS\":40.0,\"maxUnits\":4,\"meterUs\":1000000,\"sharedCounter\":false,\"truedUp\":false}},\
\"stats\":{{\"columns\":[\"recent_ms\",\"backlog\"],\"how\":\"answers\"}},\"skus\":[\"std-2\"],\"zones\":[\"room-a\",\"room-b\",\"room-c\"]",
        limits(5)
    );
    object(me, gateways, classes, plans, &more)
}
