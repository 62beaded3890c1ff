//! Metrics per partner and class, and the endpoint that Prometheus scrapes.
//!
//! [`Metrics`] records measurements with the OpenTelemetry SDK; [`serve`] exports them. The series are described in
//! docs/operators/metrics-and-logs.md.

mod instruments;
mod scrape;
mod series;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::ResultExt;
use snafu::Snafu;

pub use self::scrape::serve;

use crate::metrics::instruments::Instruments;
use crate::metrics::series::SeriesTable;
use crate::ports::Control;
use crate::ports::Freshness;
use crate::ports::Labels;
use crate::ports::Measurement;
use crate::ports::Recorder;

/// Why metrics can't be registered or exported.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The exporter can't be registered.
    #[snafu(display("failed to register the exporter: {source}"))]
    Register {
        /// Error of the OpenTelemetry SDK.
        source: OTelSdkError,
    },
    /// The series can't be encoded in the text format.
    #[snafu(display("failed to encode the series: {source}"))]
    Encode {
        /// Error of the encoder.
        source: prometheus::Error,
    },
}

/// The metrics of this process.
pub struct Metrics {
    registry: Registry,
    instruments: Instruments,
    series: RefCell<SeriesTable>,
    control: RefCell<Option<Rc<dyn Control>>>,
    freshness: RefCell<Option<Rc<dyn Freshness>>>,
    /// Keeps the pipeline alive, which the instruments only refer to weakly.
    _provider: SdkMeterProvider,
}

impl Metrics {
    /// Registers the instruments, without measurements.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered, which is a bug.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .context(RegisterSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let instruments = Instruments::new(&provider.meter("agatetrestle"));
        Ok(Self {
            registry,
            instruments,
            series: RefCell::default(),
            control: RefCell::default(),
            freshness: RefCell::default(),
            _provider: provider,
        })
    }

    /// Exports the configuration revision and whether new work is taken with each scrape.
    pub fn observe_control(&self, control: Rc<dyn Control>) {
        self.control.replace(Some(control));
    }

    /// Exports the revision of the routes and the time since control confirmed it with each scrape.
    pub fn observe_freshness(&self, freshness: Rc<dyn Freshness>) {
        self.freshness.replace(Some(freshness));
    }

    /// Encodes all series in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a series can't be encoded.
    pub fn render(&self) -> Result<Vec<u8>, MetricsError> {
        if let Some(control) = &*self.control.borrow() {
            self.instruments.record_control(&**control);
        }
        if let Some(freshness) = &*self.freshness.borrow() {
            self.instruments.record_freshness(&**freshness);
        }
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf).context(EncodeSnafu)?;
        Ok(buf)
    }
}

impl Recorder for Metrics {
    fn record(&self, labels: &Labels, measurement: &Measurement) {
        let mut series = self.series.borrow_mut();
        self.instruments.record(series.get_or_insert(labels), measurement);
    }

    fn record_cache(&self, held: u64, wasted: u64) {
        self.instruments.record_cache(held, wasted);
    }

    fn record_report(&self, outcome: &'static str, duration: Duration) {
        self.instruments.record_report(outcome, duration);
    }

    fn record_malformed(&self, entries: u64) {
        self.instruments.record_malformed(entries);
    }

    fn record_missing_voters(&self, missing: u64) {
        self.instruments.record_missing_voters(missing);
    }
}

#[cfg(test)]
mod tests;
