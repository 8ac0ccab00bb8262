//! Datagrams between gateways: one message of the decisions, under a message authentication code, with
//! a window against replays. Layout: version (1), sender (2), life (8), number (8), message, MAC (16);
//! whole numbers with the high byte first.

/// Version of the layout.
const VERSION: u8 = 1;
const HEAD: usize = 1 + 2 + 8 + 8;
const MAC: usize = 16;
/// Most bytes of the message inside.
pub const MOST: usize = 256;
/// Numbers behind the newest that are still taken, each once: datagrams may overtake each other.
const WINDOW: u64 = 64;

/// A key that all gateways share. It never shows in debug output.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// The key for datagrams, derived from a shared secret.
    pub fn derive(secret: &[u8]) -> Key {
        Key(blake3::derive_key("frostgauge 2026-12 peer datagrams v1", secret))
    }

    fn mac(&self, bytes: &[u8]) -> [u8; MAC] {
        let mut mac = [0; MAC];
        mac.copy_from_slice(&blake3::keyed_hash(&self.0, bytes).as_bytes()[..MAC]);
        mac
    }
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Too short, too long, or of another version.
    Malformed,
    /// The code is not that of the shared key.
    Forged,
    /// Seen before, of an earlier life, or too far behind.
    Replayed,
    /// From a number that is no other gateway's.
    Stranger,
}

/// Writes this gateway's datagrams.
#[derive(Debug)]
pub struct Sender {
    key: Key,
    me: u16,
    life: u64,
    number: u64,
}

impl Sender {
    /// `life` must grow with each start of this gateway (say, its start in microseconds since 1970).
    pub fn new(key: Key, me: u16, life: u64) -> Sender {
        Sender { key, me, life, number: 0 }
    }

    /// The next datagram.
    pub fn seal(&mut self, message: &[u8]) -> Vec<u8> {
        self.number += 1;
        let mut out = vec![VERSION];
        out.extend(self.me.to_be_bytes());
        out.extend(self.life.to_be_bytes());
        out.extend(self.number.to_be_bytes());
        out.extend(message);
        let mac = self.key.mac(&out);
        out.extend(mac);
        out
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    life: u64,
    newest: u64,
    bits: u64,
}

/// Opens others' datagrams.
#[derive(Debug)]
pub struct Receiver {
    key: Key,
    me: u16,
    seen: Vec<Seen>,
}

impl Receiver {
    /// A receiver for so many gateways.
    pub fn new(key: Key, me: u16, gateways: usize) -> Receiver {
        Receiver { key, me, seen: vec![Seen::default(); gateways] }
    }

    /// The sender's number and the message.
    ///
    /// # Errors
    /// Why it must be dropped.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<(usize, &'a [u8]), Dropped> {
        if !(HEAD + MAC..=HEAD + MOST + MAC).contains(&datagram.len()) || datagram[0] != VERSION {
            return Err(Dropped::Malformed);
        }
        let (signed, mac) = datagram.split_at(datagram.len() - MAC);
        // `blake3::Hash` compares in constant time; so must a shortened one.
        let differs = self.key.mac(signed).iter().zip(mac).fold(0, |acc, (a, b)| acc | (a ^ b));
        if differs != 0 {
            return Err(Dropped::Forged);
        }
        let number = |at: usize| u64::from_be_bytes(signed[at..at + 8].try_into().unwrap_or_default());
        let (from, life, number) = (u16::from_be_bytes([signed[1], signed[2]]), number(3), number(11));
        let Some(seen) = self.seen.get_mut(usize::from(from)).filter(|_| from != self.me) else {
            return Err(Dropped::Stranger);
        };
        // A replay of an earlier life would bring back totals long spent: only a later life replaces one.
        if life > seen.life {
            *seen = Seen { life, ..Seen::default() };
        }
        let behind = seen.newest.saturating_sub(number);
        if life < seen.life || behind >= WINDOW || number <= seen.newest && seen.bits >> behind & 1 == 1 {
            return Err(Dropped::Replayed);
        }
        if number > seen.newest {
            let ahead = number - seen.newest;
            seen.bits = if ahead >= WINDOW { 1 } else { seen.bits << ahead | 1 };
            seen.newest = number;
        } else {
            seen.bits |= 1 << behind;
        }
        Ok((usize::from(from), &signed[HEAD..]))
    }
}
