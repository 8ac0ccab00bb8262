//! Standard output of the commands: locked and buffered, and at its end once the reader has closed the pipe.

use std::io::{self, BufWriter, ErrorKind, StdoutLock, Write};

/// Standard output. What is written after the reader has gone is discarded without an error, so that
/// `frostgauge counter replay DIR | head -3` ends like any other filter.
pub(crate) struct Output {
    writer: BufWriter<PipeWriter<StdoutLock<'static>>>,
}

impl Output {
    /// Locks standard output until this value is dropped.
    pub(crate) fn stdout() -> Output {
        Output { writer: BufWriter::new(PipeWriter { inner: io::stdout().lock(), closed: false }) }
    }

    /// Whether the reader has closed the pipe, as far as what was flushed can tell.
    pub(crate) fn is_closed(&self) -> bool {
        self.writer.get_ref().closed
    }
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.writer.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.writer.flush()
    }
}

/// Takes a broken pipe for the end of the output.
struct PipeWriter<W> {
    inner: W,
    closed: bool,
}

impl<W> PipeWriter<W> {
    /// The value given in place of a broken pipe; other errors go on.
    fn unless_closed<T>(&mut self, result: io::Result<T>, if_closed: T) -> io::Result<T> {
        match result {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => {
                self.closed = true;
                Ok(if_closed)
            }
            result => result,
        }
    }
}

impl<W: Write> Write for PipeWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.closed {
            return Ok(bytes.len());
        }
        let written = self.inner.write(bytes);
        self.unless_closed(written, bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if self.closed {
            return Ok(());
        }
        let flushed = self.inner.flush();
        self.unless_closed(flushed, ())
    }
}
