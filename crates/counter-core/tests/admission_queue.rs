//! Tests of the admission queue: round-robin order, deadlines, the adaptive limit, and fairness under overload.

use frostgauge_counter_core::*;

const MS: Micros = 1_000;
const CONFIG: AdmissionConfig =
    AdmissionConfig { max_waiting: 4_000, max_waiting_per_gateway: 512, target_delay: 10 * MS };

#[test]
fn gateways_alternate_and_each_queue_is_fifo() {
    let mut queue = AdmissionQueue::new(CONFIG);
    for k in 0..300 {
        assert!(queue.offer(0, 1, u64::MAX, (1, k)).is_ok());
    }
    for k in 0..3 {
        assert!(queue.offer(0, 2, u64::MAX, (2, k)).is_ok());
    }
    let (mut taken, mut late) = (vec![], vec![]);
    queue.take(1, 6, &mut taken, &mut late);
    assert_eq!(taken, [(1, 0), (2, 0), (1, 1), (2, 1), (1, 2), (2, 2)]);
    assert_eq!((queue.len(), late.len()), (297, 0));
}

#[test]
fn requests_past_their_deadline_are_returned_as_late() {
    let mut queue = AdmissionQueue::new(CONFIG);
    assert!(queue.offer(0, 1, 5, 'a').is_ok() && queue.offer(0, 1, 50, 'b').is_ok());
    let (mut taken, mut late) = (vec![], vec![]);
    queue.take(10, 9, &mut taken, &mut late);
    assert_eq!((taken, late), (vec!['b'], vec!['a']));
}

/// Simulates a service that processes `per_ms` requests per millisecond; each gateway offers the given number of requests
/// per second. Returns the maximum delay in the last second, the requests taken per gateway, and the number rejected.
fn simulate(offered_per_s: &[u64], per_ms: usize, seconds: u64) -> (Micros, Vec<u64>, u64) {
    let mut queue = AdmissionQueue::new(CONFIG);
    let (mut served, mut max_delay, mut rejected) = (vec![0; offered_per_s.len()], 0, 0);
    let mut rng_state = 7u64;
    for ms in 0..seconds * 1_000 {
        let now = ms * MS;
        for k in 0..offered_per_s.len() {
            // The order of the gateways differs from millisecond to millisecond.
            let gateway = (k + ms as usize * 37) % offered_per_s.len();
            let per_s = offered_per_s[gateway];
            rng_state =
                rng_state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let arrivals = (per_s + (rng_state >> 33) % 1_000) / 1_000;
            for _ in 0..arrivals {
                rejected += u64::from(queue.offer(now, gateway as u16, u64::MAX, gateway).is_err());
            }
        }
        let (mut taken, mut late) = (vec![], vec![]);
        queue.take(now + MS, per_ms, &mut taken, &mut late);
        taken.iter().for_each(|gateway| served[*gateway] += 1);
        if ms + 1_000 >= seconds * 1_000 {
            max_delay = max_delay.max(queue.last_delay());
        }
    }
    (max_delay, served, rejected)
}

#[test]
fn delay_settles_at_twice_the_capacity() {
    // 400 gateways offer 4,000 requests per second to a service that processes 2,000.
    let (max_delay, served, rejected) = simulate(&[10; 400], 2, 20);
    assert!(max_delay <= 60 * MS, "delay in the last second: {max_delay} us");
    assert!(served.iter().sum::<u64>() > 39_000, "the capacity is used");
    assert!(rejected > 30_000);
    let (min, max) = (served.iter().min(), served.iter().max());
    assert!(
        *min.expect("a gateway") * 2 > *max.expect("a gateway"),
        "requests taken per gateway: {min:?} to {max:?}"
    );
}

#[test]
fn flood_from_one_gateway_does_not_starve_the_others() {
    let mut offered_per_s = vec![10; 40];
    offered_per_s[0] = 20_000;
    let (_, served, _) = simulate(&offered_per_s, 2, 20);
    for (gateway, taken) in served.iter().enumerate().skip(1) {
        assert!(*taken >= 150, "gateway {gateway}: {taken} of about 200 requests were taken");
    }
    assert!(served[0] > 30_000, "the flooding gateway uses the remaining capacity");
}

#[test]
fn idle_service_admits_a_burst() {
    let mut queue = AdmissionQueue::new(CONFIG);
    let admitted = (0..2_000u16).filter(|k| queue.offer(0, k % 400, u64::MAX, ()).is_ok()).count();
    assert_eq!(admitted, 2_000);
}
