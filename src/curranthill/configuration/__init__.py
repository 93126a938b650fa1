"""The configuration: its files, merge, validation and revisions."""

from curranthill.configuration.active import ActiveConfiguration
from curranthill.configuration.folder import (
    Folder,
    canonical_json,
    merge,
    read_folder,
    sha256_hex,
)
from curranthill.configuration.records import (
    ANYWHERE,
    IN_RACK,
    ON_WORKER,
    Adjacency,
    ConfigurationDocument,
    DataCentre,
    Guarantee,
    Json,
    Kind,
    Lane,
    Manifest,
    Rack,
    Service,
    Shape,
    Workspace,
)
from curranthill.configuration.revisions import RevisionStore
from curranthill.configuration.validation import shape_fits, validate_document

__all__ = (
    'ANYWHERE',
    'IN_RACK',
    'ON_WORKER',
    'ActiveConfiguration',
    'Adjacency',
    'ConfigurationDocument',
    'DataCentre',
    'Folder',
    'Guarantee',
    'Json',
    'Kind',
    'Lane',
    'Manifest',
    'Rack',
    'RevisionStore',
    'Service',
    'Shape',
    'Workspace',
    'canonical_json',
    'merge',
    'read_folder',
    'sha256_hex',
    'shape_fits',
    'validate_document',
)
