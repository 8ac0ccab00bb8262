//! Who is let in, and whose turn it is.

use frostgauge_counter_core::*;

const MS: Micros = 1_000;
const CONFIG: AdmissionConfig =
    AdmissionConfig { max_waiting: 4_000, max_waiting_per_gateway: 512, target_delay: 10 * MS };

#[test]
fn lines_are_served_in_turn_and_each_in_order() {
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
fn what_nobody_waits_for_comes_apart() {
    let mut queue = AdmissionQueue::new(CONFIG);
    assert!(queue.offer(0, 1, 5, 'a').is_ok() && queue.offer(0, 1, 50, 'b').is_ok());
    let (mut taken, mut late) = (vec![], vec![]);
    queue.take(10, 9, &mut taken, &mut late);
    assert_eq!((taken, late), (vec!['b'], vec!['a']));
}

/// A service that does `per_ms` calls each millisecond, gateways that offer so many each, for some seconds;
/// the greatest delay of the last second, and how many each had served.
fn serve(offers: &[u64], per_ms: usize, seconds: u64) -> (Micros, Vec<u64>, u64) {
    let mut queue = AdmissionQueue::new(CONFIG);
    let (mut served, mut worst, mut refused) = (vec![0; offers.len()], 0, 0);
    let mut dice = 7u64;
    for ms in 0..seconds * 1_000 {
        let now = ms * MS;
        for k in 0..offers.len() {
            // Within a millisecond they come in another order each time.
            let gateway = (k + ms as usize * 37) % offers.len();
            let per_s = offers[gateway];
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let due = (per_s + (dice >> 33) % 1_000) / 1_000;
            for _ in 0..due {
                refused += u64::from(queue.offer(now, gateway as u16, u64::MAX, gateway).is_err());
            }
        }
        let (mut taken, mut late) = (vec![], vec![]);
        queue.take(now + MS, per_ms, &mut taken, &mut late);
        taken.iter().for_each(|g| served[*g] += 1);
        if ms + 1_000 >= seconds * 1_000 {
            worst = worst.max(queue.last_delay());
        }
    }
    (worst, served, refused)
}

#[test]
fn the_delay_settles_though_twice_as_much_is_offered() {
    // Two thousand a second are done, four thousand offered by 400.
    let (worst, served, refused) = serve(&[10; 400], 2, 20);
    assert!(worst <= 60 * MS, "{worst} us");
    assert!(served.iter().sum::<u64>() > 39_000, "the disk is kept busy");
    assert!(refused > 30_000);
    let (least, most) = (served.iter().min(), served.iter().max());
    assert!(*least.expect("some") * 2 > *most.expect("some"), "{least:?} to {most:?}");
}

#[test]
fn one_that_floods_does_not_starve_the_others() {
    let mut offers = vec![10; 40];
    offers[0] = 20_000;
    let (_, served, _) = serve(&offers, 2, 20);
    for (gateway, n) in served.iter().enumerate().skip(1) {
        assert!(*n >= 150, "gateway {gateway}: {n} of about 200");
    }
    assert!(served[0] > 30_000, "what is left is the flood's");
}

#[test]
fn a_burst_on_an_idle_service_is_let_in() {
    let mut queue = AdmissionQueue::new(CONFIG);
    let n = (0..2_000u16).filter(|k| queue.offer(0, k % 400, u64::MAX, ()).is_ok()).count();
    assert_eq!(n, 2_000);
}
